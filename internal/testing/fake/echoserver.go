package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

// EchoServer is a server of the platform's protocol: it takes every connection and returns every line.
type EchoServer struct {
	Address string
	// Firsts gets each first line as it came, but for probes.
	FirstLines chan string

	acceptor acceptor

	mu              sync.Mutex
	answer          string
	report          string // of its load, as probes get it
	reportFunc      func() string
	openConnections int
}

// NewEchoServer starts a server on loopback, at any port if the address ends in ":0". It answers first
// lines with answer; "UP" gives each a receipt, "" says nothing at all, and "-" ends the connection.
func NewEchoServer(address, answer string) (*EchoServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &EchoServer{
		Address:    l.Addr().String(),
		FirstLines: make(chan string, 4096),
		answer:     answer,
		report:     "x0=0.2,qps=3,queue=0",
	}
	s.acceptor.start(l, s.serve)
	return s, nil
}

// Close ends the server and resets its connections.
func (s *EchoServer) Close() {
	s.acceptor.reset()
}

// SetReport changes what probes are told.
func (s *EchoServer) SetReport(report string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
}

// ReportFrom has each probe answered by what fn returns.
func (s *EchoServer) ReportFrom(fn func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportFunc = fn
}

// OpenConnections is how many connections are up.
func (s *EchoServer) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openConnections
}

func (s *EchoServer) addConnections(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConnections += n
}

// Broadcast sends a line on every connection; it ends them after it if last is set.
func (s *EchoServer) Broadcast(line string, last bool) {
	for _, c := range s.acceptor.all() {
		fmt.Fprintf(c, "%s\r\n", line)
		if last {
			c.(*net.TCPConn).CloseWrite()
		}
	}
}

func (s *EchoServer) serve(c net.Conn) {
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
			s.FirstLines <- text
			switch s.answer {
			case "":
			case "-":
				return
			case "UP":
				fmt.Fprintf(c, "UP %s\r\n", strings.Fields(text)[1])
				up = true
				s.addConnections(1)
				defer s.addConnections(-1)
			default:
				fmt.Fprintf(c, "%s\r\n", s.answer)
				return
			}
		}
	}
}

// currentReport returns the answer to a probe.
func (s *EchoServer) currentReport() string {
	s.mu.Lock()
	report, asked := s.report, s.reportFunc
	s.mu.Unlock()
	if asked != nil {
		return asked()
	}
	return report
}
