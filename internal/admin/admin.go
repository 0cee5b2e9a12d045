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
)

const (
	// callTimeout bounds a complete call and the writing of its answer: operators are owed every answer
	// within 1 s, beside callers that hold a connection for 4 s without a complete call.
	callTimeout = time.Second
	// MaxConnections bounds the connections that are open at once. Beyond it the oldest one that has not sent
	// a complete call is closed: a crowd of silent callers then evicts only each other.
	MaxConnections = 32
)

// ErrNeverListed answers a call about a server that was never listed.
var ErrNeverListed = manualeject.ErrNeverListed

// Relay is what the admin page asks of the relay. Its methods must not block for long.
type Relay interface {
	// Ready tells whether the process serves and is neither draining nor shutting down.
	Ready() bool
	// Drain starts or ends a manual drain.
	Drain(on bool)
	// Eject ejects a server manually, Readmit ends its ejection. Either fails with ErrNeverListed for an id
	// that was never listed; the change is stored before they return.
	Eject(id string) error
	Readmit(id string) error
}

// Server serves the admin page.
type Server struct {
	http     *http.Server
	listener *boundedListener
	relay    Relay
	log      zerolog.Logger
}

// Listen binds the address. The metrics are those that figures gathers.
func Listen(address string, relay Relay, figures prometheus.Gatherer, log zerolog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	bounded := &boundedListener{Listener: l, limit: MaxConnections, silent: map[net.Conn]bool{}}
	s := &Server{relay: relay, log: log, listener: bounded}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", s.handleReadiness)
	metrics := promhttp.HandlerFor(figures, promhttp.HandlerOpts{ErrorHandling: promhttp.ContinueOnError})
	mux.Handle("GET /ops/stats", metrics)
	mux.HandleFunc("POST /ops/tile-servers/down/{id}", s.ejectionHandler(relay.Eject))
	mux.HandleFunc("POST /ops/tile-servers/up/{id}", s.ejectionHandler(relay.Readmit))
	mux.HandleFunc("POST /ops/drain/start", s.drainHandler(true))
	mux.HandleFunc("POST /ops/drain/stop", s.drainHandler(false))
	s.http = &http.Server{
		Handler:           closeAfterCall(mux),
		ReadHeaderTimeout: callTimeout,
		ReadTimeout:       callTimeout,
		WriteTimeout:      callTimeout,
		IdleTimeout:       callTimeout,
		MaxHeaderBytes:    8 << 10,
		ConnState:         s.listener.trackState,
	}
	s.http.SetKeepAlivesEnabled(false)
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close stops listening and ends every connection.
func (s *Server) Close() error { return s.http.Shutdown(closedContext()) }

func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// closeAfterCall makes every answer the last one of its connection.
func closeAfterCall(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) ejectionHandler(do func(string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		err := do(id)
		switch {
		case errors.Is(err, ErrNeverListed):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			s.log.Error().Err(err).Str("server", id).
				Msg("manual ejection cannot be stored, nothing has changed: mend the folder in $TMPDIR")
			http.Error(w, err.Error(), http.StatusInternalServerError)
		default:
			call := strings.TrimPrefix(r.URL.Path, "/ops/tile-servers/")
			s.log.Info().Str("server", id).Str("call", call).Msg("manual ejection changed")
			fmt.Fprintln(w, "ok")
		}
	}
}
