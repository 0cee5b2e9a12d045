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
	Capacity  float64
	Started   time.Time
	StartPart float64
	Warm      time.Duration
	// First, if set, is called with each first line before it is answered.
	First func(line string)

	// Knobs are its faults; see Turn.
	knobs Knobs

	l      net.Listener
	mu     sync.Mutex
	conns  map[*net.TCPConn]bool // true once it serves
	fences map[string]uint64
	silent bool
	busy   bool
	killed bool
	thaw   *sync.Cond
	opened int // first lines, but for probes

	peak    float64   // most connections over what it could do at that moment
	overAt  time.Time // since when it is over FallMultiple
	longest time.Duration
}

// NewScanServer starts a server on loopback.
func NewScanServer(id, address string, feed *Feed, ledger *Ledger) (*ScanServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &ScanServer{
		ID:      id,
		Address: l.Addr().String(),
		Feed:    feed,
		Ledger:  ledger,
		Load:    0.2,
		l:       l,
		conns:   map[*net.TCPConn]bool{},
		fences:  map[string]uint64{},
	}
	s.thaw = sync.NewCond(&s.mu)
	go s.accept()
	return s, nil
}

func (s *ScanServer) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		conn := c.(*net.TCPConn)
		s.mu.Lock()
		s.conns[conn] = false
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *ScanServer) serve(c *net.TCPConn) {
	defer s.forget(c)
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		s.still()
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

func (s *ScanServer) forget(c *net.TCPConn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// answerProbe returns the answer to a probe, as late as the faults ask for.
func (s *ScanServer) answerProbe() string {
	s.mu.Lock()
	k := s.knobs
	load := fmt.Sprintf("%.3f", s.load()+k.Extra)
	s.mu.Unlock()
	if k.ProbeDelay > 0 || k.Frozen {
		load = k.told
	}
	time.Sleep(k.ProbeDelay)
	if k.Erring {
		return "ERR"
	}
	return "PONG x0=" + load + ",qps=3,queue=0"
}
