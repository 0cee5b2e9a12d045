// Package control is the socket on which a running relay is asked: a unix socket of mode 0600, one question and its
// answer a connection, both JSON on a line. A question that follows events gets one event a line, until it ends.
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
	"capersail/internal/observe/report"
	"capersail/internal/observe/watch"
)

const (
	askWithin    = time.Second // for the question
	answerWithin = time.Second // for each write: who reads nothing for so long is hung up on
	most         = 16          // connections at once
	longest      = 64 << 10    // bytes of a question
)

// ErrInUse says that another daemon answers on the socket.
var ErrInUse = errors.New("another daemon answers there")

// Fleet is what a relay knows of the others.
type Fleet interface{ Report() membership.Report }

// Room is what a socket can be asked for.
type Room struct {
	Watchers []*watch.Watcher
	Fleet    Fleet // nil for none
	// Looks is what is known of the looks at servers by turns; nil for nothing.
	Looks func() (probing.Report, bool)
	// Cells is what is known of the fleet's cells; nil for nothing.
	Cells func() (cells.Report, bool)
}

// Server answers questions.
type Server struct {
	l net.Listener
	Room
	log   zerolog.Logger
	room  chan struct{}
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Listen begins to answer. A socket that a dead daemon has left is replaced.
func Listen(path string, room Room, log zerolog.Logger) (*Server, error) {
	if conn, err := net.Dial("unix", path); err == nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
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
	s := &Server{l: l, Room: room, log: log, room: make(chan struct{}, most), conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Close ends all connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case s.room <- struct{}{}:
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
			<-s.room
		}()
	}
}

// question is what is asked: of the fleet, or of time lines.
type question struct {
	Fleet bool `json:"fleet,omitempty"`
	Looks bool `json:"looks,omitempty"`
	report.Query
}

// reply is what comes back on a line.
type reply struct {
	Fleet   *membership.Report `json:"fleet,omitempty"`
	Cells   *cells.Report      `json:"cells,omitempty"`
	Looks   *probing.Report    `json:"looks,omitempty"`
	Error   string             `json:"error,omitempty"`
	Reports []*report.Report   `json:"reports,omitempty"`
	Event   *anomaly.Event     `json:"event,omitempty"`
}

func (s *Server) serve(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(askWithin))
	in := bufio.NewReaderSize(conn, longest)
	line, err := in.ReadSlice('\n')
	out := writer{conn}
	var q question
	if err == nil {
		err = json.Unmarshal(line, &q)
	}
	if err != nil {
		out.send(reply{Error: "no question: " + err.Error()})
		return
	}
	if q.Fleet {
		if s.Fleet == nil {
			out.send(reply{Error: "this socket tells nothing of the fleet"})
			return
		}
		r := s.Fleet.Report()
		answer := reply{Fleet: &r}
		if q.Looks && s.Looks != nil {
			if looks, ok := s.Looks(); ok {
				answer.Looks = &looks
			}
		}
		if s.Cells != nil {
			if known, ok := s.Cells(); ok {
				answer.Cells = &known
			}
		}
		out.send(answer)
		return
	}
	var events []<-chan anomaly.Event
	if q.Follow { // before the report: what begins meanwhile is told twice rather than not at all
		for _, w := range s.Watchers {
			c, stop := w.Follow()
			if c == nil {
				out.send(reply{Error: "too many follow already"})
				return
			}
			defer stop()
			events = append(events, c)
		}
	}
	var r reply
	for _, w := range s.Watchers {
		r.Reports = append(r.Reports, w.Report(q.Query))
	}
	if out.send(r) != nil || !q.Follow {
		return
	}
	ended := make(chan struct{})
	go func() { // the other end says nothing more; its end is ours
		conn.SetReadDeadline(time.Time{})
		in.ReadByte()
		close(ended)
	}()
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

type writer struct{ net.Conn }

func (w writer) send(r reply) error {
	w.SetWriteDeadline(time.Now().Add(answerWithin))
	return json.NewEncoder(w.Conn).Encode(r)
}

// Ask asks a running relay.
func Ask(path string, q report.Query) ([]*report.Report, error) {
	q.Follow = false
	var got []*report.Report
	err := ask(path, q, func(r reply) bool { got = r.Reports; return false })
	return got, err
}

// AskFleet asks a running relay what it knows of the others, and of the fleet's cells: nil where there are none.
func AskFleet(path string) (*membership.Report, *cells.Report, error) {
	got, err := askFleet(path, question{Fleet: true})
	return got.Fleet, got.Cells, err
}

// AskLooks asks a running relay what it knows of the others, and of the looks at servers by turns: nil where it takes part
// in none.
func AskLooks(path string) (*membership.Report, *probing.Report, error) {
	got, err := askFleet(path, question{Fleet: true, Looks: true})
	return got.Fleet, got.Looks, err
}

func askFleet(path string, q question) (got reply, err error) {
	err = ask(path, q, func(r reply) bool { got = r; return false })
	if err == nil && got.Fleet == nil {
		err = errors.New("the relay's answer: nothing of the fleet")
	}
	return got, err
}

// Follow asks and goes on with events, until fn returns false or the relay ends.
func Follow(path string, q report.Query, begin func([]*report.Report), fn func(anomaly.Event) bool) error {
	q.Follow = true
	return ask(path, q, func(r reply) bool {
		if r.Event != nil {
			return fn(*r.Event)
		}
		begin(r.Reports)
		return true
	})
}

func ask(path string, q any, fn func(reply) bool) error {
	conn, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return fmt.Errorf("no relay answers: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if err := json.NewEncoder(conn).Encode(q); err != nil {
		return err
	}
	for in := json.NewDecoder(conn); ; {
		var r reply
		if err := in.Decode(&r); err != nil {
			return fmt.Errorf("the relay's answer: %w", err)
		}
		if r.Error != "" {
			return errors.New(r.Error)
		}
		if !fn(r) {
			return nil
		}
		conn.SetDeadline(time.Time{})
	}
}
