package control

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/watch"
	"capersail/internal/wire/shortcall"
)

const (
	queryTimeout     = time.Second // to read the query
	writeTimeout     = time.Second // for each reply; a client that does not read is disconnected
	acceptRetryDelay = 100 * time.Millisecond
	maxConnections   = 24 // more than may follow events, so that others can query
	maxQueryBytes    = 16 << 10
	queriesPerSecond = 400 // bounds the processor time that clients who query over and over can use
)

// ErrSocketInUse is returned by Listen if another daemon answers on the socket.
var ErrSocketInUse = errors.New("another daemon answers on this socket")

// FleetReporter reports the state of the fleet's members as the relay sees them.
type FleetReporter interface{ Report() membership.Report }

// Sources provides the data that queries on a socket return.
type Sources struct {
	Watchers []*watch.Watcher
	Fleet    FleetReporter // nil where relays do not know each other
	// Probing reports on shared probing; nil where each relay probes servers for itself.
	Probing func() (probing.Report, bool)
	// Cells reports on the fleet's cells; nil without a plan.
	Cells func() (cells.Report, bool)
}

// Server answers queries on up to maxConnections connections at once. Listen starts its goroutines, and Close
// ends them.
type Server struct {
	listener *shortcall.Listener
	sources  Sources
	log      zerolog.Logger

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen starts a server on the socket at path. It replaces a socket that a dead process has left behind. If
// another daemon listens on the socket, the error is ErrSocketInUse.
func Listen(path string, sources Sources, log zerolog.Logger) (*Server, error) {
	if err := removeDeadSocket(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	old := syscall.Umask(0o177) // sets the mode when the socket is created; a chmod would come later
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, err
	}
	limits := shortcall.Limits{Connections: maxConnections, AcceptsPerSecond: queriesPerSecond}
	s := &Server{
		listener: shortcall.NewListener(l, limits),
		sources:  sources,
		log:      log,
		conns:    map[net.Conn]bool{},
	}
	go s.acceptLoop()
	return s, nil
}

// removeDeadSocket removes the socket at path if no process listens on it. A socket that refuses connections
// is dead; any other error may come from a live daemon that is busy.
func removeDeadSocket(path string) error {
	conn, err := net.Dial("unix", path)
	switch {
	case err == nil:
		conn.Close()
		return ErrSocketInUse
	case errors.Is(err, syscall.EAGAIN): // its queue of connections is full
		return ErrSocketInUse
	case !errors.Is(err, syscall.ECONNREFUSED):
		return nil
	}
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() == os.ModeSocket {
		os.Remove(path)
	}
	return nil
}

// Close removes the socket, stops listening and closes all connections. It may be called more than once.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serveConn(conn)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
			s.listener.Closed(conn)
		}()
	}
}

func (s *Server) serveConn(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(queryTimeout))
	in := bufio.NewReaderSize(conn, maxQueryBytes)
	out := replyWriter{conn}
	q, err := readQuery(in)
	s.listener.CallArrived(conn)
	switch {
	case err != nil:
		out.send(reply{Error: "cannot read the query: " + err.Error()})
	case q.Fleet:
		out.send(s.fleetReply(q))
	case q.Follow:
		s.follow(q, conn, in, out)
	default:
		out.send(s.timelineReply(q))
	}
}

func readQuery(in *bufio.Reader) (q query, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return q, err
	}
	return q, json.Unmarshal(line, &q)
}

func (s *Server) fleetReply(q query) reply {
	if s.sources.Fleet == nil {
		return reply{Error: "this socket has no data on the fleet; query the socket that members.toml names"}
	}
	members := s.sources.Fleet.Report()
	answer := reply{Fleet: &members}
	if q.Probing && s.sources.Probing != nil {
		if known, ok := s.sources.Probing(); ok {
			answer.Probing = &known
		}
	}
	if s.sources.Cells != nil {
		if known, ok := s.sources.Cells(); ok {
			answer.Cells = &known
		}
	}
	return answer
}

func (s *Server) timelineReply(q query) (r reply) {
	for _, w := range s.sources.Watchers {
		r.Reports = append(r.Reports, w.Report(q.Query))
	}
	return r
}

// follow sends the timelines and then events, until the client closes the connection. It subscribes to events
// before it reads the timelines, so that an event that begins in between is sent twice rather than lost.
func (s *Server) follow(q query, conn net.Conn, in *bufio.Reader, out replyWriter) {
	var events []<-chan anomaly.Event
	for _, w := range s.sources.Watchers {
		c, stop := w.FollowEvents()
		if c == nil {
			out.send(reply{Error: "too many clients follow events already"})
			return
		}
		defer stop()
		events = append(events, c)
	}
	if out.send(s.timelineReply(q)) != nil {
		return
	}
	ended := make(chan struct{})
	go func() { // the client sends nothing more: the read returns once it hangs up
		conn.SetReadDeadline(time.Time{})
		in.ReadByte()
		close(ended)
	}()
	merged := mergeEvents(events, ended)
	for {
		select {
		case <-ended:
			return
		case e := <-merged:
			if out.send(reply{Event: &e}) != nil {
				return
			}
		}
	}
}

// mergeEvents merges the events of several channels into one. It starts a goroutine per channel, which
// returns when that channel or ended is closed.
func mergeEvents(events []<-chan anomaly.Event, ended <-chan struct{}) <-chan anomaly.Event {
	merged := make(chan anomaly.Event)
	for _, c := range events {
		go func() {
			for e := range c {
				select {
				case merged <- e:
				case <-ended:
					return
				}
			}
		}()
	}
	return merged
}
