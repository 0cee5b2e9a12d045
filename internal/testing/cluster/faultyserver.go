package cluster

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ServerMode is how a FaultyServer answers first lines.
type ServerMode int32

// The modes of a FaultyServer.
const (
	Accept         ServerMode = iota // UP, and every line back
	Hang                             // nothing
	AnswerError                      // ERR
	AnswerBusy                       // BUSY
	ResetAfterOpen                   // the connection is reset after its first line
	serverModes                      // how many there are
)

// Arrival is one attempt as it came to a FaultyServer.
type Arrival struct {
	ID, Server          string
	ReceivedAt, EndedAt time.Duration // as Now has it; End is 0 while the connection is open
	MayHaveRun          bool          // it was not answered BUSY
	// EndedBeforeRead says that the relay had ended the attempt before its first line was read, which had waited
	// for the time ReadDelay.
	EndedBeforeRead bool
	ReadDelay       time.Duration
	// endedBeforeNext says that the relay had ended the attempt when the request's next one was read.
	endedBeforeNext bool
	// EndedByServer says that the server has ended the connection.
	EndedByServer bool
}

// FaultyServer is a server of the platform's protocol that fails by its mode, and records what came to it.
type FaultyServer struct {
	ID, Address string

	attempts *attemptLog // of all servers
	mode     atomic.Int32
	listener net.Listener
	mu       sync.Mutex
	open     map[net.Conn]*Arrival // nil before the first line
	arrivals []*Arrival
}

// NewFaultyServer starts a server on loopback that runs until Close.
func NewFaultyServer(id string, attempts *attemptLog) (*FaultyServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &FaultyServer{attempts: attempts, ID: id, Address: l.Addr().String(), listener: l, open: map[net.Conn]*Arrival{}}
	go t.accept()
	return t, nil
}

func (t *FaultyServer) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// SetMode changes how the server answers from now on.
func (t *FaultyServer) SetMode(mode ServerMode) { t.mode.Store(int32(mode)) }

// Reset resets all connections, as a process that dies does.
func (t *FaultyServer) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn, a := range t.open {
		if a != nil && !a.EndedByServer {
			a.EndedByServer, a.EndedAt = true, Now()
		}
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Close ends the server and resets its connections. It may be called again.
func (t *FaultyServer) Close() {
	t.listener.Close()
	t.Reset()
}

// Arrivals returns all attempts that have come.
func (t *FaultyServer) Arrivals() (all []Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.arrivals {
		all = append(all, *a)
	}
	return all
}

func (t *FaultyServer) addConnection(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[conn] = nil
}

func (t *FaultyServer) removeConnection(conn net.Conn, a *Arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, conn)
	if a != nil && !a.EndedByServer {
		a.EndedAt = Now()
	}
	conn.Close()
}

// recordArrival records an attempt, by the mode of this instant.
func (t *FaultyServer) recordArrival(conn net.Conn, id string) *Arrival {
	state := kernelState(conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &Arrival{
		ID:              id,
		Server:          t.ID,
		ReceivedAt:      state.receivedAt,
		MayHaveRun:      ServerMode(t.mode.Load()) != AnswerBusy,
		EndedBeforeRead: state.peerEnded,
		ReadDelay:       Now() - state.receivedAt,
	}
	t.arrivals = append(t.arrivals, a)
	t.attempts.add(a, conn)
	if _, open := t.open[conn]; open {
		t.open[conn] = a
	}
	return a
}

func (t *FaultyServer) serve(conn net.Conn) {
	t.addConnection(conn)
	var a *Arrival
	defer func() { t.removeConnection(conn, a) }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text := strings.TrimSpace(line)
		switch {
		case text == "STATS" || text == "PING":
			if ServerMode(t.mode.Load()) != Hang {
				fmt.Fprint(conn, "PONG x0=0.1\r\n")
			}
		case a != nil:
			fmt.Fprint(conn, line)
		default:
			a = t.recordArrival(conn, strings.Fields(text + " - -")[1])
			if !t.answer(conn, a) {
				return
			}
		}
	}
}

// answer answers a first line, and tells whether the connection goes on.
func (t *FaultyServer) answer(conn net.Conn, a *Arrival) bool {
	mode := ServerMode(t.mode.Load())
	if !a.MayHaveRun { // its mode has changed in this moment
		mode = AnswerBusy
	}
	switch mode {
	case Accept:
		fmt.Fprintf(conn, "UP %s\r\n", a.ID)
		return true
	case Hang:
		return true
	case AnswerError:
		fmt.Fprint(conn, "ERR\r\n")
	case AnswerBusy:
		fmt.Fprint(conn, "BUSY\r\n")
	case ResetAfterOpen:
		conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}
