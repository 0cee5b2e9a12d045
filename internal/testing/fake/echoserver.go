package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

// TileServer is a server of the platform's protocol: it takes every connection and returns every line.
type TileServer struct {
	Address string
	// Firsts gets each first line as it came, but for probes.
	Firsts chan string

	acceptor acceptor

	mu     sync.Mutex
	answer string
	report string // of its load, as probes get it
	asked  func() string
	held   int
}

// NewTileServer starts a server on loopback, at any port if the address ends in ":0". It answers first
// lines with answer; "UP" gives each a receipt, "" says nothing at all, and "-" ends the connection.
func NewTileServer(address, answer string) (*TileServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &TileServer{
		Address: l.Addr().String(),
		Firsts:  make(chan string, 4096),
		answer:  answer,
		report:  "x0=0.2,qps=3,queue=0",
	}
	s.acceptor.start(l, s.serve)
	return s, nil
}

// Close ends the server and resets its connections.
func (s *TileServer) Close() {
	s.acceptor.reset()
}

// SetReport changes what probes are told.
func (s *TileServer) SetReport(report string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
}

// Ask has each probe answered by what fn returns.
func (s *TileServer) Ask(fn func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = fn
}

// Held is how many connections are up.
func (s *TileServer) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *TileServer) hold(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += n
}

// Say sends a line on every connection; it ends them after it if last is set.
func (s *TileServer) Say(line string, last bool) {
	for _, c := range s.acceptor.all() {
		fmt.Fprintf(c, "%s\r\n", line)
		if last {
			c.(*net.TCPConn).CloseWrite()
		}
	}
}

func (s *TileServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for up := false; ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		switch text := strings.TrimRight(line, "\r\n"); {
		case text == "PING" || text == "STATS":
			fmt.Fprintf(c, "PONG %s\r\n", s.currentReport())
		case up:
			fmt.Fprint(c, line)
		case !strings.HasPrefix(text, "OPEN "):
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		default:
			s.Firsts <- text
			switch s.answer {
			case "":
			case "-":
				return
			case "UP":
				fmt.Fprintf(c, "UP %s\r\n", strings.Fields(text)[1])
				up = true
				s.hold(1)
				defer s.hold(-1)
			default:
				fmt.Fprintf(c, "%s\r\n", s.answer)
				return
			}
		}
	}
}

// currentReport returns the answer to a probe.
func (s *TileServer) currentReport() string {
	s.mu.Lock()
	report, asked := s.report, s.asked
	s.mu.Unlock()
	if asked != nil {
		return asked()
	}
	return report
}
