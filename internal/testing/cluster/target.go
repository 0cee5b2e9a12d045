package cluster

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// TargetMode is how a Target answers.
type TargetMode int32

// The modes.
const (
	Takes   TargetMode = iota // UP, and every line back
	Hangs                     // nothing
	Errs                      // ERR
	IsFull                    // BUSY
	Resets                    // the connection is reset after its first line
	targets                   // how many there are
)

// Arrival is one attempt as it came to a Target.
type Arrival struct {
	ID, Server string
	At, End    float64 // as Now; End is 0 while the connection stands
	Ran        bool    // it may have run: it was not told BUSY
}

// Target is a server of the platform's protocol that fails as it is told, and keeps what came to it.
type Target struct {
	ID, Address string

	mode     atomic.Int32
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]struct{}
	arrivals []*Arrival
}

// NewTarget starts a server on loopback.
func NewTarget(id string) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{ID: id, Address: l.Addr().String(), listener: l, open: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return t, nil
}

// Set changes how it answers from now on.
func (t *Target) Set(mode TargetMode) { t.mode.Store(int32(mode)) }

// Reset breaks all connections, as a process that dies does.
func (t *Target) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Close ends the server.
func (t *Target) Close() {
	t.listener.Close()
	t.Reset()
}

// Arrivals are all attempts that have come.
func (t *Target) Arrivals() (all []Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.arrivals {
		all = append(all, *a)
	}
	return all
}

func (t *Target) enter(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[conn] = struct{}{}
}

func (t *Target) leave(conn net.Conn, a *Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, conn)
	if a != nil {
		a.End = Now()
	}
	conn.Close()
}

func (t *Target) came(id string) *Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Arrival{ID: id, Server: t.ID, At: Now(), Ran: TargetMode(t.mode.Load()) != IsFull}
	t.arrivals = append(t.arrivals, a)
	return a
}

func (t *Target) serve(conn net.Conn) {
	t.enter(conn)
	var a *Arrival
	defer func() { t.leave(conn, a) }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text := strings.TrimSpace(line)
		switch {
		case text == "STATS" || text == "PING":
			if TargetMode(t.mode.Load()) != Hangs {
				fmt.Fprint(conn, "PONG x0=0.1\r\n")
			}
		case a != nil:
			fmt.Fprint(conn, line)
		default:
			a = t.came(strings.Fields(text + " - -")[1])
			if !t.answer(conn, a) {
				return
			}
		}
	}
}

// answer answers a first line, and tells whether the connection goes on.
func (t *Target) answer(conn net.Conn, a *Arrival) bool {
	mode := TargetMode(t.mode.Load())
	if !a.Ran { // its mode has changed in this moment
		mode = IsFull
	}
	switch mode {
	case Takes:
		fmt.Fprintf(conn, "UP %s\r\n", a.ID)
		return true
	case Hangs:
		return true
	case Errs:
		fmt.Fprint(conn, "ERR\r\n")
	case IsFull:
		fmt.Fprint(conn, "BUSY\r\n")
	case Resets:
		conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}
