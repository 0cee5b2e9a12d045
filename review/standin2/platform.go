package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// discovery is the platform's discovery service.
type discovery struct {
	address  string
	listener net.Listener
	crowded  atomic.Bool // calls wait for callWait and end with 503

	mu         sync.Mutex
	generation int
	entries    map[string]string
	watches    map[chan string]bool
}

func (h *harness) newDiscovery() *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	d := &discovery{
		address: l.Addr().String(), listener: l, generation: 1, entries: map[string]string{}, watches: map[chan string]bool{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

// callWait is how long a call waits before it fails (casa-tiles: discovery.timeout_ms).
const callWait = time.Second

func (d *discovery) setCrowded(on bool) { d.crowded.Store(on) }

// close takes no new connections from now on, and closes the open watches after a time.
func (d *discovery) close(openFor time.Duration) {
	d.listener.Close()
	time.AfterFunc(openFor, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for w := range d.watches {
			close(w)
			delete(d.watches, w)
		}
	})
}

// set lists a server with a lifecycle: Ready, Terminating or Gone.
func (d *discovery) set(id, address, lifecycle string, startedAtMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	entry := fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"hall-a","machineType":"std-2c","cell":1,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`, id, address, lifecycle, startedAtMs)
	if lifecycle == "Gone" {
		delete(d.entries, id)
	} else {
		d.entries[id] = entry
	}
	event := fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[%s]}`, d.generation, entry)
	for w := range d.watches {
		w <- event
	}
}

// list returns the whole list as JSON.
func (d *discovery) list() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked()
}

func (d *discovery) listLocked() string {
	var all []string
	for _, e := range d.entries {
		all = append(all, e)
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, d.generation, strings.Join(all, ","))
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; {
		line, err = in.ReadString('\n')
	}
	if err != nil {
		return
	}
	if d.crowded.Load() {
		time.Sleep(callWait)
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if !strings.Contains(first, "watch=1") {
		text := d.list() + "\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	events := make(chan string, 1000)
	d.mu.Lock()
	text := d.listLocked() + "\n"
	d.watches[events] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, events)
		d.mu.Unlock()
	}()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		select {
		case event, open := <-events:
			if !open {
				return
			}
			text = event + "\n"
		case <-time.After(2 * time.Second):
			text = "\n"
		}
	}
}

// tileServer is a server of the platform. It serves every connection until one side ends it.
type tileServer struct {
	h        *harness
	id       string
	listener net.Listener
	open     atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool // guarded by mu
	// onOpen is called for each first line, with the time of its first byte. If it returns a function, that is
	// called at the connection's end.
	onOpen func(id string, at time.Time) (onEnd func())
}

func (h *harness) newTileServer(id string) *tileServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	s := &tileServer{h: h, id: id, listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *tileServer) address() string { return s.listener.Addr().String() }

// stop ends the server's process.
func (s *tileServer) stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *tileServer) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	up := false
	for {
		_, err := in.Peek(1)
		firstByteAt := time.Now()
		if err != nil {
			return
		}
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(line)
		switch {
		case up:
			fmt.Fprint(c, line)
		case len(fields) > 0 && (fields[0] == "PING" || fields[0] == "STATS"):
			fmt.Fprintf(c, "PONG x0=%.3f,qps=1,queue=0\r\n", float64(s.open.Load())/40)
		case len(fields) == 4 && fields[0] == "OPEN":
			up = true
			s.open.Add(1)
			defer s.open.Add(-1)
			s.h.logf("server %s runs %s", s.id, fields[1])
			if s.onOpen != nil {
				if onEnd := s.onOpen(fields[1], firstByteAt); onEnd != nil {
					defer onEnd()
				}
			}
			fmt.Fprintf(c, "UP %s-%s\r\n", s.id, fields[1])
		default:
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		}
	}
}

// relaySeed is the seed that the platform gives to the relays; it is new with each start of a case.
var relaySeed = rand.Uint64()

// casaConfig returns the platform's configuration of a relay of a small deployment like casa-tiles.
func casaConfig(name, listen, discovery, known string, relays, me int) string {
	return fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"areas":["hall-a","hall-b","hall-c"],"zone":"hall-a","balancers":%d,"me":%d,"quantumMs":5,
  "callers":{"marksRetry":false},
  "classes":[
   {"name":"map-stream","semantics":"free","group":"all","aimMs":800,"deadlineMs":3200,"worth":3,"streaming":true,"windowMs":5000},
   {"name":"zoom-fetch","semantics":"free","group":"all","aimMs":300,"deadlineMs":1200,"worth":1,"streaming":true,"windowMs":5000},
   {"name":"alert-feed","semantics":"free","group":"all","aimMs":300,"deadlineMs":1800,"worth":2,"streaming":true,"windowMs":5000}],
  "discovery":"ask","kindOfService":"conn","models":["fast-2c","std-2c","slow-3c"],
  "limits":{"cancelling":true,"connIdleMs":10000,"connectTimeoutMs":150,"cpuUsPerS":800000,"maxOpen":1000000,
   "maxRetryAfterMs":1500,"mayDuplicate":false,"mostTries":6,"peers":false,"probes":true,"retryAfter":true},
  "realms":[{"allowancePerS":1,"name":"agri-souss","portion":0.5},{"allowancePerS":1,"name":"port-tanger","portion":0.5}],
  "rules":{"askWithinMs":10000,"coldMs":8600,"fallMultiple":4,"graceToAnswerMs":20,"overloadForMs":1500,
   "startCapacity":0.36,"stopSendingWithinMs":500},
  "prices":{"crossZone":0.03,"probe":0.0016,"moves":0.03,"discovery":0.02,"lateFail":0.046,"waste":0.02},
  "specifics":{"groups":true,"messageAimMs":[50,50,100],"mode":"proxy","reportX0":"load asked of the server over what it can do",
   "tellsLoad":true,"tenantQuotaConnections":[40,34]},
  "telemetry":{"fields":["x0","rate","q"],"how":"on_probe"},"tiers":["tile-stream"],"stage":0,
  "weightSource":"rough","worthBy":"request"}}`, name, listen, discovery, relaySeed, known, relays, me)
}

// clientResult is how a client's connection went.
type clientResult struct {
	id     string
	sent   bool   // the first line was written whole to an accepted connection
	answer string // the first line that came back, "" for none
	err    error  // why there was no answer
	end    string // how an established connection ended: "closed" by the client, "MOVE", or an error
	within time.Duration
}

var clientCount atomic.Int64

// runClient opens one connection and keeps it for a time, with a line every 2 s, unless it is moved before.
func (h *harness) runClient(address string, keep time.Duration) (r clientResult) {
	n := clientCount.Add(1)
	r.id = fmt.Sprintf("%016x", 0xc0de0000+n)
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	_, r.err = fmt.Fprintf(c, "OPEN %s %x c=map-stream,t=agri-souss,d=3200,g=%x\r\n", r.id, n*7919, n%50+1)
	if r.err != nil {
		return r
	}
	r.sent = true
	in := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(3200*time.Millisecond + 550*time.Millisecond))
	line, err := in.ReadString('\n')
	r.within = time.Since(began)
	r.answer, r.err = strings.TrimSpace(line), err
	h.logf("client %s sent OPEN, answer %q after %.0f ms, error %v", r.id, r.answer, r.within.Seconds()*1000, err)
	if err != nil || !strings.HasPrefix(r.answer, "UP ") {
		return r
	}
	r.end = h.holdConnection(c, in, time.Now().Add(keep))
	h.logf("client %s ended: %s", r.id, r.end)
	return r
}

// holdConnection sends a line every 2 s until the end, and returns how the connection ended.
func (h *harness) holdConnection(c net.Conn, in *bufio.Reader, end time.Time) string {
	sent := time.Now()
	for {
		next := sent.Add(2 * time.Second)
		if next.After(end) {
			next = end
		}
		c.SetReadDeadline(next)
		line, err := in.ReadString('\n')
		switch {
		case err == nil && strings.TrimSpace(line) == "MOVE":
			return "MOVE"
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(end):
			return "closed"
		case errors.Is(err, os.ErrDeadlineExceeded):
			sent = time.Now()
			if _, err := fmt.Fprint(c, "line\r\n"); err != nil {
				return err.Error()
			}
		case errors.Is(err, io.EOF):
			return "end without MOVE"
		default:
			return err.Error()
		}
	}
}
