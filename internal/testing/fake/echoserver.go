package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

// EchoServer is a server of the platform's protocol that accepts every connection and echoes every line.
type EchoServer struct {
	Address string
	// FirstLines receives the first line of each connection unchanged, except for probes. When it is full,
	// new connections wait until it is read.
	FirstLines chan string

	acceptor acceptor

	answer string // answer to first lines; see NewEchoServer

	mu              sync.Mutex
	report          string        // load report
	reportFunc      func() string // used instead of report if set
	openConnections int
}

// NewEchoServer starts a server that runs until Close, on any free port if the address ends in ":0". It
// answers each first line with answer and then ends the connection, with three exceptions: "UP" accepts the
// connection, "" sends no answer, and "-" ends the connection without an answer. It fails if it cannot listen
// on the address.
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

// Close stops the server and resets its connections. It may be called again.
func (s *EchoServer) Close() {
	s.acceptor.reset()
}

// SetReport sets the load report that answers probes.
func (s *EchoServer) SetReport(report string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
}

// SetReportFunc makes the server answer each probe with the load report that fn returns.
func (s *EchoServer) SetReportFunc(fn func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportFunc = fn
}

// OpenConnections returns the number of accepted connections that are open.
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

// Broadcast sends a line on every connection, and then ends the connections if last is set.
func (s *EchoServer) Broadcast(line string, last bool) {
	for _, c := range s.acceptor.connections() {
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

// currentReport returns the load report that answers a probe now.
func (s *EchoServer) currentReport() string {
	s.mu.Lock()
	report, reportFunc := s.report, s.reportFunc
	s.mu.Unlock()
	if reportFunc != nil {
		return reportFunc()
	}
	return report
}
