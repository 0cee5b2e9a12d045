package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

// EchoServer is a server of the platform's protocol that accepts every connection and returns every line.
type EchoServer struct {
	Address string
	// FirstLines gets each first line as it came, probes not counted. Once it is full, connections wait for a
	// reader.
	FirstLines chan string

	acceptor acceptor

	answer string // to first lines; see NewEchoServer

	mu              sync.Mutex
	report          string        // the load report
	reportFunc      func() string // if set, in report's place
	openConnections int
}

// NewEchoServer starts a server, at any port if the address ends in ":0", that runs until Close. It answers
// first lines with answer and ends the connection, except that "UP" accepts it, "" leaves it unanswered, and
// "-" ends it without an answer. It fails if the address cannot be listened on.
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

// Close ends the server and resets its connections. It may be called again.
func (s *EchoServer) Close() {
	s.acceptor.reset()
}

// SetReport changes the load report that answers probes.
func (s *EchoServer) SetReport(report string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = report
}

// SetReportFunc has each probe answered with the load report that fn returns.
func (s *EchoServer) SetReportFunc(fn func() string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportFunc = fn
}

// OpenConnections returns how many connections are accepted and open.
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

// Broadcast sends a line on every connection, and ends them after it if last is set.
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

// currentReport returns the load report for a probe.
func (s *EchoServer) currentReport() string {
	s.mu.Lock()
	report, reportFunc := s.report, s.reportFunc
	s.mu.Unlock()
	if reportFunc != nil {
		return reportFunc()
	}
	return report
}
