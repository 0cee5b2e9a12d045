package fake

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Feed is the radar: scans numbered from 1, of which every server has the newest Keep.
type Feed struct {
	Keep uint64

	mu     sync.Mutex
	newest uint64
	more   *sync.Cond
}

// NewFeed returns a feed that makes a scan each period until stop is closed.
func NewFeed(keep uint64, period time.Duration, stop <-chan struct{}) *Feed {
	f := &Feed{Keep: keep, newest: 1}
	f.more = sync.NewCond(&f.mu)
	go func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				f.mu.Lock()
				f.newest++
				f.mu.Unlock()
				f.more.Broadcast()
			}
		}
	}()
	return f
}

// Newest is the number of the newest scan.
func (f *Feed) Newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// Ledger is what all servers together saw of each stream: who serves it, in which generation.
type Ledger struct {
	mu      sync.Mutex
	serving map[string]*serving
	highest map[string]uint64
	served  int
	bad     []string
}

type serving struct {
	server string
	gen    uint64
	conn   *net.TCPConn
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{serving: map[string]*serving{}, highest: map[string]uint64{}}
}

// begin notes a service. If another server's connection for the stream still stands at this instant, two
// servers serve it. The kernel is asked, since a goroutine may be late to read what has come long ago.
func (l *Ledger) begin(stream, server string, gen uint64, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !established(conn) { // given up while the server was silent or dead: it serves nobody
		return
	}
	if o := l.serving[stream]; o != nil && established(o.conn) {
		l.bad = append(l.bad, fmt.Sprintf("stream %s: %s begins generation %d while %s serves %d", stream, server, gen, o.server, o.gen))
	}
	if gen <= l.highest[stream] {
		l.bad = append(l.bad, fmt.Sprintf("stream %s: generation %d after %d", stream, gen, l.highest[stream]))
	}
	l.highest[stream] = gen
	l.serving[stream] = &serving{server, gen, conn}
	l.served++
}

func (l *Ledger) end(stream string, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.serving[stream]; o != nil && o.conn == conn {
		delete(l.serving, stream)
	}
}

// Bad lists what must not have happened.
func (l *Ledger) Bad() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.bad...)
}

// Serving is how many streams are served now, and Served how many services there were.
func (l *Ledger) Serving() (now, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.serving), l.served
}

// established tells whether the peer of a connection has not ended it.
func established(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == 1
	})
	return open
}

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

// The rule on cold servers, in its figures for this project.
const (
	FallMultiple = 4.0
	FallFor      = 1500 * time.Millisecond
)

// load is what is asked of the server over what it can do now. The caller holds the lock.
func (s *ScanServer) load() float64 {
	if s.Capacity == 0 {
		return s.Load
	}
	able := 1.0
	if age := time.Since(s.Started); age < s.Warm {
		able = s.StartPart + (1-s.StartPart)*float64(age)/float64(s.Warm)
	}
	n := 0.0
	for _, serves := range s.conns {
		if serves {
			n++
		}
	}
	x := n / (s.Capacity * able)
	s.peak = max(s.peak, x)
	if x <= FallMultiple {
		s.overAt = time.Time{}
	} else if s.overAt.IsZero() {
		s.overAt = time.Now()
	} else {
		s.longest = max(s.longest, time.Since(s.overAt))
	}
	return x
}

// Strain is the highest load so far, and the longest time over FallMultiple.
func (s *ScanServer) Strain() (peak float64, over time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load()
	return s.peak, s.longest
}

// NewScanServer starts a server on loopback.
func NewScanServer(id, address string, feed *Feed, ledger *Ledger) (*ScanServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &ScanServer{ID: id, Address: l.Addr().String(), Feed: feed, Ledger: ledger, Load: 0.2, l: l,
		conns: map[*net.TCPConn]bool{}, fences: map[string]uint64{}}
	s.thaw = sync.NewCond(&s.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c.(*net.TCPConn)] = false
			s.mu.Unlock()
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s, nil
}

// Kill ends the server at once and resets its connections.
func (s *ScanServer) Kill() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.SetLinger(0)
		c.Close()
	}
	s.silent, s.killed = false, true
	s.thaw.Broadcast()
}

// Silence makes it say and read nothing, with all connections open; or ends that.
func (s *ScanServer) Silence(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	s.thaw.Broadcast()
}

// Knobs are ways in which a server misbehaves.
type Knobs struct {
	ProbeDelay time.Duration // answers probes so late, with the numbers of when it was turned
	Frozen     bool          // its report stays as it is
	Erring     bool          // answers first lines and probes with ERR
	UpDelay    time.Duration // takes so long to say UP
	Extra      float64       // load on top of what it holds
	told       string
}

// Turn sets the knobs.
func (s *ScanServer) Turn(k Knobs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.told = fmt.Sprintf("%.3f", s.load()+k.Extra)
	s.knobs = k
}

// Refuse makes it answer BUSY to whoever comes, as a draining server does.
func (s *ScanServer) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = on
}

// SendAway ends one connection in n with MOVE, and returns how many are left.
func (s *ScanServer) SendAway(n int) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := 0
	for c, serves := range s.conns {
		if !serves {
			continue
		}
		if seen++; seen%n == 1 {
			fmt.Fprint(c, "MOVE\r\n")
			c.CloseWrite()
			delete(s.conns, c)
		} else {
			left++
		}
	}
	return left
}

// Opened is how many first lines came, but for probes.
func (s *ScanServer) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// dead tells whether the server was killed.
func (s *ScanServer) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// still waits while the server is silent.
func (s *ScanServer) still() {
	s.mu.Lock()
	for s.silent {
		s.thaw.Wait()
	}
	s.mu.Unlock()
}

func (s *ScanServer) serve(c *net.TCPConn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		s.still()
		if err != nil {
			return
		}
		switch text := strings.TrimRight(line, "\r\n"); {
		case text == "PING" || text == "STATS":
			s.mu.Lock()
			k, load := s.knobs, fmt.Sprintf("%.3f", s.load()+s.knobs.Extra)
			s.mu.Unlock()
			if k.ProbeDelay > 0 || k.Frozen {
				load = k.told
			}
			time.Sleep(k.ProbeDelay)
			if k.Erring {
				fmt.Fprint(c, "ERR\r\n")
				continue
			}
			fmt.Fprintf(c, "PONG x0=%s,qps=3,queue=0\r\n", load)
		case strings.HasPrefix(text, "OPEN "):
			s.open(c, in, text)
			return
		default:
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		}
	}
}

// open answers a first line and serves the stream.
func (s *ScanServer) open(c *net.TCPConn, in *bufio.Reader, text string) {
	if s.First != nil {
		s.First(text)
	}
	s.still()
	if s.dead() {
		return
	}
	parts := strings.Split(text, " ")
	stream, gen, from, lease := "", uint64(0), uint64(0), uint64(0)
	for _, field := range strings.Split(parts[len(parts)-1], ",") {
		switch name, value, _ := strings.Cut(field, "="); name {
		case "s":
			stream = value
		case "gen":
			gen, _ = strconv.ParseUint(value, 10, 64)
		case "from":
			from, _ = strconv.ParseUint(value, 10, 64)
		case "lease":
			lease, _ = strconv.ParseUint(value, 10, 64)
		}
	}
	newest := s.Feed.Newest()
	s.mu.Lock()
	s.opened++
	busy, fence, knobs := s.busy, s.fences[stream], s.knobs
	if stream != "" && gen > fence {
		s.fences[stream] = gen
	}
	s.mu.Unlock()
	time.Sleep(knobs.UpDelay)
	switch {
	case knobs.Erring:
		fmt.Fprint(c, "ERR\r\n")
		return
	case busy:
		fmt.Fprint(c, "BUSY\r\n")
		return
	case stream != "" && gen < fence:
		fmt.Fprintf(c, "STALE %d\r\n", fence)
		return
	case from > newest+1:
		fmt.Fprintf(c, "AHEAD %d\r\n", newest)
		return
	case from == 0:
		from = newest + 1
	}
	if oldest := max(1, newest-min(newest, s.Feed.Keep)+1); from < oldest {
		from = oldest
	}
	s.mu.Lock()
	s.conns[c] = true
	s.load()
	s.mu.Unlock()
	if stream == "" {
		fmt.Fprintf(c, "UP %s\r\n", parts[1])
	} else {
		s.Ledger.begin(stream, s.ID, gen, c)
		defer s.Ledger.end(stream, c)
		fmt.Fprintf(c, "UP %s from=%d\r\n", parts[1], from)
	}
	over := make(chan struct{})
	// Whoever is told a lease ends the stream by itself when it is not renewed in time: its relay may be stopped.
	end := time.AfterFunc(time.Hour, func() {
		s.Ledger.end(stream, c)
		c.Close()
	})
	defer end.Stop()
	if lease > 0 {
		end.Reset(time.Duration(lease) * time.Millisecond)
	}
	var out sync.Mutex
	go func() { // lines from the client come back
		defer close(over)
		defer s.Feed.more.Broadcast()
		for {
			line, err := in.ReadString('\n')
			s.still()
			if err != nil {
				return
			}
			if text, ok := strings.CutPrefix(strings.TrimSpace(line), "KEEP "); ok && stream != "" {
				ms, _ := strconv.Atoi(text)
				end.Reset(time.Duration(ms) * time.Millisecond)
				continue
			}
			out.Lock()
			_, err = fmt.Fprint(c, line)
			out.Unlock()
			if err != nil {
				return
			}
		}
	}()
	f := s.Feed
	for next := from; ; next++ {
		f.mu.Lock()
		for next > f.newest {
			select {
			case <-over:
				f.mu.Unlock()
				return
			default:
			}
			f.more.Wait()
		}
		f.mu.Unlock()
		s.still()
		select {
		case <-over:
			return
		default:
		}
		out.Lock()
		_, err := fmt.Fprintf(c, "SCAN %d %016x\r\n", next, next*0x9e3779b97f4a7c15)
		out.Unlock()
		if err != nil {
			return
		}
	}
}
