package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// ScanServer serves scans by the lines of docs/RESUME.md. One that is not told of a stream serves plain lines.
type ScanServer struct {
	ID      string
	Address string
	Feed    *Feed
	Ledger  *Ledger
	// Load is what probes are told where Capacity is 0.
	Load float64
	// Capacity is how many connections fill the server once it is warm. Cold at Started, it has StartPart of it, and
	// all after Warm; one that holds over FallMultiple times what it can for FallFor has fallen over.
	Capacity          float64
	StartedAt         time.Time
	SlowStartCapacity float64
	SlowStartWindow   time.Duration
	// First, if set, is called with each first line before it is answered.
	OnFirstLine func(line string)

	// Knobs are its faults; see Turn.
	faults ServerFaults

	listener    net.Listener
	mu          sync.Mutex
	connections map[*net.TCPConn]bool // true once it serves
	fences      map[string]uint64
	silent      bool
	rejecting   bool
	killed      bool
	resumed     *sync.Cond
	openings    int // first lines, but for probes

	peakLoad        float64   // most connections over what it could do at that moment
	overloadedAt    time.Time // since when it is over FallMultiple
	longestOverload time.Duration
}

// NewScanServer starts a server on loopback.
func NewScanServer(id, address string, feed *Feed, ledger *Ledger) (*ScanServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &ScanServer{
		ID:          id,
		Address:     l.Addr().String(),
		Feed:        feed,
		Ledger:      ledger,
		Load:        0.2,
		listener:    l,
		connections: map[*net.TCPConn]bool{},
		fences:      map[string]uint64{},
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

// answerProbe returns the answer to a probe, as late as the faults ask for.
func (s *ScanServer) answerProbe() string {
	s.mu.Lock()
	k := s.faults
	load := fmt.Sprintf("%.3f", s.measureLoad()+k.ExtraLoad)
	s.mu.Unlock()
	if k.ProbeDelay > 0 || k.FreezeReport {
		load = k.frozenLoad
	}
	time.Sleep(k.ProbeDelay)
	if k.AnswerError {
		return "ERR"
	}
	return "PONG x0=" + load + ",qps=3,queue=0"
}
