package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// ScanServer serves scan streams by the protocol of docs/RESUME.md, and plain connections to clients that
// name no stream. Its fields must be set before the first connection.
type ScanServer struct {
	ID      string
	Address string
	Feed    *Feed
	Tracker *StreamTracker
	// Load is the load in load reports if Capacity is 0.
	Load float64
	// Capacity is the number of connections that fill the server. During slow start it grows linearly, from
	// the fraction SlowStartCapacity at StartedAt to the full value after SlowStartWindow.
	Capacity          float64
	StartedAt         time.Time
	SlowStartCapacity float64
	SlowStartWindow   time.Duration
	// OnFirstLine, if set, is called with each first line before it is answered.
	OnFirstLine func(line string)

	listener net.Listener

	mu             sync.Mutex
	connections    map[*net.TCPConn]bool // true once the connection's stream is being served
	fencingTokens  map[string]uint64     // highest generation received, by stream
	firstLineCount int                   // first lines received, not counting probes

	faults    ServerFaults
	silent    bool
	resumed   *sync.Cond // on mu: signals the end of silent
	rejecting bool
	killed    bool

	peakLoad        float64
	overloadedAt    time.Time // zero while the load is at most OverloadFactor
	longestOverload time.Duration
}

// NewScanServer starts a server that runs until Kill. It fails if it cannot listen on the address.
func NewScanServer(id, address string, feed *Feed, ledger *StreamTracker) (*ScanServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &ScanServer{
		ID:            id,
		Address:       l.Addr().String(),
		Feed:          feed,
		Tracker:       ledger,
		Load:          0.2,
		listener:      l,
		connections:   map[*net.TCPConn]bool{},
		fencingTokens: map[string]uint64{},
	}
	s.resumed = sync.NewCond(&s.mu)
	go s.accept()
	return s, nil
}

func (s *ScanServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		conn := c.(*net.TCPConn)
		s.mu.Lock()
		s.connections[conn] = false
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *ScanServer) serve(c *net.TCPConn) {
	defer s.removeConnection(c)
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		s.waitWhileSilent()
		if err != nil {
			return
		}
		switch text := strings.TrimRight(line, "\r\n"); {
		case text == "PING" || text == "STATS":
			fmt.Fprintf(c, "%s\r\n", s.answerProbe())
		case strings.HasPrefix(text, "OPEN "):
			s.open(c, in, text)
			return
		default:
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		}
	}
}

func (s *ScanServer) removeConnection(c *net.TCPConn) {
	c.Close()
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
}

// answerProbe returns the answer to a probe, after the delay that the faults demand.
func (s *ScanServer) answerProbe() string {
	s.mu.Lock()
	faults := s.faults
	load := fmt.Sprintf("%.3f", s.measureLoad()+faults.ExtraLoad)
	s.mu.Unlock()
	if faults.ProbeDelay > 0 || faults.FreezeReport {
		load = faults.frozenLoad
	}
	time.Sleep(faults.ProbeDelay)
	if faults.AnswerError {
		return "ERR"
	}
	return "PONG x0=" + load + ",qps=3,queue=0"
}
