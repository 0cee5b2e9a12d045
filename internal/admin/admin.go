package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"capersail/internal/manualeject"
	"capersail/internal/wire/shortcall"
)

const (
	// callTimeout bounds reading a complete call, and writing its response. Every call has to be answered
	// within 1 s, even while other callers hold a connection for 4 s without sending a complete call.
	callTimeout = time.Second
	// MaxConnections bounds the connections that are open at once. A connection over the limit closes the
	// oldest one that has not sent a complete call, so that many silent callers evict only each other.
	MaxConnections = 32
	// callsPerSecond bounds the processor time that callers who call over and over can use.
	callsPerSecond = 1000
	// maxHeadBytes bounds the head of a call, besides the 4 KiB that package http adds. Fields take a
	// multiple of their text once they are parsed.
	maxHeadBytes = 1 << 10
)

// ErrNeverListed is returned for a server that has never been in an endpoint list.
var ErrNeverListed = manualeject.ErrNeverListed

// Relay is the relay as the admin address controls it. Its methods must not block for long: a call has to be
// answered within 1 s.
type Relay interface {
	// Ready reports whether the process serves and is neither draining nor shutting down.
	Ready() bool
	// Drain starts or ends a manual drain.
	Drain(on bool)
	// Eject ejects a server manually, and Readmit ends its ejection. Both fail with ErrNeverListed for an id
	// that was never listed, and store the change before they return.
	Eject(id string) error
	Readmit(id string) error
}

// Server serves the admin address.
type Server struct {
	http     *http.Server
	listener *shortcall.Listener
	relay    Relay
	log      zerolog.Logger
}

// Listen binds the address and returns its server; Serve answers the calls. The metrics come from gatherer.
func Listen(address string, relay Relay, gatherer prometheus.Gatherer, log zerolog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	limits := shortcall.Limits{Connections: MaxConnections, AcceptsPerSecond: callsPerSecond}
	s := &Server{relay: relay, log: log, listener: shortcall.NewListener(l, limits)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", s.handleReadiness)
	metrics := promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
	mux.Handle("GET /ops/stats", metrics)
	mux.HandleFunc("POST /ops/tile-servers/down/{id}", s.ejectionHandler(relay.Eject))
	mux.HandleFunc("POST /ops/tile-servers/up/{id}", s.ejectionHandler(relay.Readmit))
	mux.HandleFunc("POST /ops/drain/start", s.drainHandler(true))
	mux.HandleFunc("POST /ops/drain/stop", s.drainHandler(false))
	s.http = &http.Server{
		Handler:           s.serveOneCall(mux),
		ConnContext:       withConnection,
		ReadHeaderTimeout: callTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		IdleTimeout:       callTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ConnState:         s.trackState,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close is called. The error is that of a listener that has failed.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close stops listening and closes every connection.
func (s *Server) Close() error { return s.http.Shutdown(closedContext()) }

// trackState reports closed connections to the listener.
func (s *Server) trackState(c net.Conn, st http.ConnState) {
	if st == http.StateClosed {
		s.listener.Closed(c)
	}
}

// connectionKey is the key of a call's connection in the call's context.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// serveOneCall reports to the listener that a call has arrived, and has its connection closed after the
// response. The HTTP server itself counts a connection as active from its first byte on, also one whose call
// it rejects, and keeps such a connection for half a second.
func (s *Server) serveOneCall(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.listener.CallArrived(r.Context().Value(connectionKey{}).(net.Conn))
		w.Header().Set("Connection", "close")
		h.ServeHTTP(w, r)
	})
}

func (s *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.relay.Ready() {
		fmt.Fprintln(w, "ready")
		return
	}
	http.Error(w, "not ready", http.StatusServiceUnavailable)
}

func (s *Server) drainHandler(on bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.relay.Drain(on)
		s.log.Info().Bool("draining", on).Msg("manual drain changed")
		fmt.Fprintln(w, "ok")
	}
}

func (s *Server) ejectionHandler(change func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		err := change(id)
		switch {
		case errors.Is(err, ErrNeverListed):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			s.log.Error().Err(err).Str("server", id).
				Msg("manual ejection not stored, no change: make capersail-bans in $TMPDIR writable")
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			call := strings.TrimPrefix(r.URL.Path, "/ops/tile-servers/")
			s.log.Info().Str("server", id).Str("call", call).Msg("manual ejection changed")
			fmt.Fprintln(w, "ok")
		}
	}
}
