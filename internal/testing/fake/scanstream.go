package fake

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// openRequest holds the fields of a first line.
type openRequest struct {
	id          string
	stream      string // "" if the line names no stream
	generation  uint64 // fencing token of the stream
	firstWanted uint64 // first scan wanted; 0 means the next one
	lease       uint64 // how long the stream may be served without a renewal, in ms; 0 means without limit
}

func parseOpenRequest(text string) openRequest {
	parts := strings.Split(text, " ")
	o := openRequest{id: parts[1]}
	for field := range strings.SplitSeq(parts[len(parts)-1], ",") {
		switch name, value, _ := strings.Cut(field, "="); name {
		case "s":
			o.stream = value
		case "gen":
			o.generation, _ = strconv.ParseUint(value, 10, 64)
		case "from":
			o.firstWanted, _ = strconv.ParseUint(value, 10, 64)
		case "lease":
			o.lease, _ = strconv.ParseUint(value, 10, 64)
		}
	}
	return o
}

// firstScan returns the number of the first scan to send: the one asked for, or the oldest that is still
// available.
func (o openRequest) firstScan(newest, keep uint64) uint64 {
	from := o.firstWanted
	if from == 0 {
		from = newest + 1
	}
	oldest := newest - min(newest, keep) + 1
	return max(from, 1, oldest)
}

// open answers a first line and serves its stream until the stream ends.
func (s *ScanServer) open(c *net.TCPConn, in *bufio.Reader, text string) {
	if s.OnFirstLine != nil {
		s.OnFirstLine(text)
	}
	s.waitWhileSilent()
	if s.isKilled() {
		return
	}
	o := parseOpenRequest(text)
	newest := s.Feed.Newest()
	rejecting, fence, faults := s.recordOpenRequest(o)
	time.Sleep(faults.UpDelay)
	switch {
	case faults.AnswerError:
		fmt.Fprint(c, "ERR\r\n")
		return
	case rejecting:
		fmt.Fprint(c, "BUSY\r\n")
		return
	case o.stream != "" && o.generation < fence:
		fmt.Fprintf(c, "STALE %d\r\n", fence)
		return
	case o.firstWanted > newest+1:
		fmt.Fprintf(c, "AHEAD %d\r\n", newest)
		return
	}
	s.mu.Lock()
	s.connections[c] = true
	s.measureLoad()
	s.mu.Unlock()
	stream := &scanStream{
		openRequest: o,
		server:      s,
		conn:        c,
		in:          in,
		clientEnded: make(chan struct{}),
	}
	stream.serve(o.firstScan(newest, s.Feed.Keep))
}

// recordOpenRequest counts a first line and raises the fencing token of its stream. It returns the token from
// before, and the current faults.
func (s *ScanServer) recordOpenRequest(o openRequest) (rejecting bool, fence uint64, faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstLineCount++
	fence = s.fencingTokens[o.stream]
	if o.stream != "" && o.generation > fence {
		s.fencingTokens[o.stream] = o.generation
	}
	return s.rejecting, fence, s.faults
}

// scanStream is one stream that is being served.
type scanStream struct {
	openRequest
	server      *ScanServer
	conn        *net.TCPConn
	in          *bufio.Reader
	clientEnded chan struct{} // closed when the client has ended its side
	leaseTimer  *time.Timer   // ends the stream when its lease expires

	writeMu sync.Mutex
}

// serve answers the first line and sends scans until either side ends the stream.
func (t *scanStream) serve(from uint64) {
	if t.stream == "" {
		fmt.Fprintf(t.conn, "UP %s\r\n", t.id)
	} else {
		t.server.Tracker.beginServing(t.stream, t.server.ID, t.generation, t.conn)
		defer t.server.Tracker.endServing(t.stream, t.conn)
		fmt.Fprintf(t.conn, "UP %s from=%d\r\n", t.id, from)
	}
	// The server itself ends a stream whose lease has expired, because the relay that failed to renew it may
	// be stopped.
	t.leaseTimer = time.AfterFunc(time.Hour, func() {
		t.server.Tracker.endServing(t.stream, t.conn)
		t.conn.Close()
	})
	defer t.leaseTimer.Stop()
	if t.lease > 0 {
		t.leaseTimer.Reset(time.Duration(t.lease) * time.Millisecond)
	}
	go t.echo()
	t.sendScans(from)
}

// echo returns the client's lines and renews the lease, until the client ends its side.
func (t *scanStream) echo() {
	defer close(t.clientEnded)
	defer t.server.Feed.changed.Broadcast()
	for {
		line, err := t.in.ReadString('\n')
		t.server.waitWhileSilent()
		if err != nil {
			return
		}
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "KEEP "); ok && t.stream != "" {
			ms, _ := strconv.Atoi(text)
			t.leaseTimer.Reset(time.Duration(ms) * time.Millisecond)
			continue
		}
		if err := t.write(line); err != nil {
			return
		}
	}
}

// sendScans sends all scans starting with the given one.
func (t *scanStream) sendScans(from uint64) {
	for next := from; ; next++ {
		if !t.server.Feed.waitForScan(next, t.clientEnded) {
			return
		}
		t.server.waitWhileSilent()
		select {
		case <-t.clientEnded:
			return
		default:
		}
		if err := t.write(fmt.Sprintf("SCAN %d %016x\r\n", next, next*0x9e3779b97f4a7c15)); err != nil {
			return
		}
	}
}

func (t *scanStream) write(text string) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	_, err := fmt.Fprint(t.conn, text)
	return err
}
