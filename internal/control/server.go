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
)

const (
	questionTimeout  = time.Second // for the question
	writeTimeout     = time.Second // for each write: a caller that reads nothing for so long is closed
	acceptRetryDelay = 100 * time.Millisecond
	maxConnections   = 16
	maxQuestionBytes = 64 << 10
)

// ErrSocketInUse says that another daemon answers on the socket.
var ErrSocketInUse = errors.New("another daemon answers there")

// FleetReporter is what a relay knows of the others.
type FleetReporter interface{ Report() membership.Report }

// Sources is what a socket can be asked for.
type Sources struct {
	Watchers []*watch.Watcher
	Fleet    FleetReporter // nil without members
	// Probing reports the fleet's shared probing; nil without it.
	Probing func() (probing.Report, bool)
	// Cells reports the fleet's cells; nil without a plan.
	Cells func() (cells.Report, bool)
}

// Server answers questions, maxConnections at once. Listen starts its goroutines, Close ends them.
type Server struct {
	listener net.Listener
	sources  Sources
	log      zerolog.Logger
	slots    chan struct{} // holds one element a connection

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen begins to answer on the socket at path. A socket that a dead daemon has left is replaced; where
// another daemon answers, the error is ErrSocketInUse.
func Listen(path string, sources Sources, log zerolog.Logger) (*Server, error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() == os.ModeSocket {
		os.Remove(path)
	}
	old := syscall.Umask(0o177) // the mode from the first moment on, not by a chmod after it
	l, err := net.Listen("unix", path)
	syscall.Umask(old)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: l,
		sources:  sources,
		log:      log,
		slots:    make(chan struct{}, maxConnections),
		conns:    map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

// Close stops listening and closes all connections. It is idempotent.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
			<-s.slots
		}()
	}
}

func (s *Server) serve(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(questionTimeout))
	in := bufio.NewReaderSize(conn, maxQuestionBytes)
	out := replyWriter{conn}
	q, err := readQuestion(in)
	switch {
	case err != nil:
		out.send(reply{Error: "no question: " + err.Error()})
	case q.Fleet:
		out.send(s.fleetReply(q))
	case q.Follow:
		s.follow(q, conn, in, out)
	default:
		out.send(s.timelineReply(q))
	}
}

func readQuestion(in *bufio.Reader) (q question, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return q, err
	}
	return q, json.Unmarshal(line, &q)
}

func (s *Server) fleetReply(q question) reply {
	if s.sources.Fleet == nil {
		return reply{Error: "this socket tells nothing of the fleet"}
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

func (s *Server) timelineReply(q question) (r reply) {
	for _, w := range s.sources.Watchers {
		r.Reports = append(r.Reports, w.Report(q.Query))
	}
	return r
}

// follow sends a report and then events until the caller ends. It follows before it reports: what begins
// meanwhile is sent twice rather than not at all.
func (s *Server) follow(q question, conn net.Conn, in *bufio.Reader, out replyWriter) {
	var events []<-chan anomaly.Event
	for _, w := range s.sources.Watchers {
		c, stop := w.Follow()
		if c == nil {
			out.send(reply{Error: "too many follow already"})
			return
		}
		defer stop()
		events = append(events, c)
	}
	if out.send(s.timelineReply(q)) != nil {
		return
	}
	ended := make(chan struct{})
	go func() { // the caller says nothing more: whatever is read is its end
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

// mergeEvents passes the events of several channels into one, by a goroutine each that ends with its channel
// or once ended is closed.
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
