package fake

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
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
	s := &TileServer{Address: l.Addr().String(), Firsts: make(chan string, 4096), answer: answer, report: "x0=0.2,qps=3,queue=0"}
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
			s.mu.Lock()
			report, asked := s.report, s.asked
			s.mu.Unlock()
			if asked != nil {
				report = asked()
			}
			fmt.Fprintf(c, "PONG %s\r\n", report)
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

// Discovery is the platform's list of servers.
type Discovery struct {
	Address string
	Extra   string // more fields of each entry, as JSON with a comma before it

	mu      sync.Mutex
	version int
	list    map[string]string // an entry's JSON by its id
	changed []chan string
}

// NewDiscovery starts discovery on loopback.
func NewDiscovery(address string) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), version: 1, list: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// Entry is one line of the list.
func Entry(id, address, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"hall-a","lifecycle":%q,"startedAtMs":0}`, id, address, lifecycle)
}

// Set changes one entry and tells every watch.
func (d *Discovery) Set(id, address, lifecycle string) { d.Start(id, address, lifecycle, time.Time{}) }

// Start is Set for a server that has started at a time; the zero one is long ago.
func (d *Discovery) Start(id, address, lifecycle string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	entry := Entry(id, address, lifecycle)
	if !at.IsZero() {
		entry = strings.Replace(entry, `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, at.UnixMilli()), 1)
	}
	d.list[id] = strings.TrimSuffix(entry, "}") + d.Extra + "}"
	for _, w := range d.changed {
		w <- d.text(false, d.list[id])
	}
}

func (d *Discovery) text(whole bool, entries string) string {
	return fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[%s]}\n", d.version, whole, entries)
}

// Whole is the whole list.
func (d *Discovery) Whole() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, e := range d.list {
		all = append(all, e)
	}
	return d.text(true, strings.Join(all, ","))
}

func (d *Discovery) forget(w chan string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed = slices.DeleteFunc(d.changed, func(c chan string) bool { return c == w })
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; line, err = in.ReadString('\n') {
	}
	whole := d.Whole()
	if !strings.Contains(first, "watch=1") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
		return
	}
	changes := make(chan string, 64)
	d.mu.Lock()
	d.changed = append(d.changed, changes)
	d.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(whole), whole)
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for {
		text := "\n" // while nothing changes
		select {
		case text = <-changes:
		case <-idle.C:
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			d.forget(changes)
			return
		}
	}
}
