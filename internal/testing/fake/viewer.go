package fake

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Viewer is a client that watches one stream of scans over and over: it comes back after every end, with its
// token if it uses one.
type Viewer struct {
	Name   string
	Fields string        // of its first lines: class, tenant and so on, but for d
	Wait   time.Duration // its patience, d
	Token  bool          // it uses tokens
	Say    time.Duration // it sends a line each so often, 0 for never
	Relay  func() string // the address to come to now
	Event  func(string)  // if set, called with whatever happens but scans

	mu    sync.Mutex
	held  string // its token
	tally Tally
}

// Tally is what happened to a viewer.
type Tally struct {
	Openings, Answers int // of connections whose first line was sent; answers that came to them
	Ups, Busy, Failed int
	Moves, Breaks     int
	Unreached         int             // connections that never stood
	Last              uint64          // the last scan
	Scans             uint64          // how many came
	Lost, Disorder    uint64          // scans that never came, and that came out of turn
	Notes             []string        // what it was told of failures and gaps
	Gaps              []time.Duration // from the last scan before an end to the first after it
	LastAt            time.Time
}

// Tally returns a copy.
func (v *Viewer) Tally() Tally {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.tally
	t.Notes, t.Gaps = append([]string(nil), t.Notes...), append([]time.Duration(nil), t.Gaps...)
	return t
}

// Forget empties the list of gaps.
func (v *Viewer) Forget() { v.note(func(t *Tally) { t.Gaps = nil }) }

// Held is the token that it has.
func (v *Viewer) Held() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held
}

func (v *Viewer) note(f func(t *Tally)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.tally)
}

func (v *Viewer) event(format string, args ...any) {
	if v.Event != nil {
		v.Event(fmt.Sprintf(format, args...))
	}
}

// Run watches until the context ends.
func (v *Viewer) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause := v.once(ctx, n)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func soon() time.Duration { return time.Duration(10+rand.IntN(60)) * time.Millisecond }

// once opens the stream and follows it to its end. It returns how long to wait before the next time.
func (v *Viewer) once(ctx context.Context, n int) time.Duration {
	relay := v.Relay()
	conn, err := net.DialTimeout("tcp", relay, 500*time.Millisecond)
	if err != nil {
		v.note(func(t *Tally) { t.Unreached++ })
		return soon()
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	v.mu.Lock()
	more := ""
	if v.Token && v.held != "" {
		more = fmt.Sprintf(",resume=%s,pos=%d", v.held, v.tally.Last)
	} else if v.Token {
		if more = ",resume=new"; v.tally.Last > 0 {
			more += fmt.Sprintf(",pos=%d", v.tally.Last)
		}
	}
	v.tally.Openings++
	v.mu.Unlock()
	fmt.Fprintf(conn, "OPEN %s-%d %s,d=%d%s\r\n", v.Name, n, v.Fields, v.Wait.Milliseconds(), more)
	conn.SetReadDeadline(time.Now().Add(v.Wait + 3*time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		v.note(func(t *Tally) {
			if t.Breaks++; ctx.Err() == nil {
				t.Notes = append(t.Notes, "unanswered by "+relay)
			} else {
				t.Openings--
			}
		})
		return soon()
	}
	words := strings.Fields(line)
	v.note(func(t *Tally) { t.Answers++ })
	v.event("answered %s", strings.TrimSpace(line))
	switch {
	case words[0] == "UP":
		v.note(func(t *Tally) { t.Ups++ })
	case words[0] == "BUSY":
		v.note(func(t *Tally) { t.Busy++ })
		v.surplus(in)
		if len(words) > 1 {
			ms, _ := strconv.Atoi(words[1])
			return time.Duration(ms) * time.Millisecond
		}
		return soon()
	default:
		v.surplus(in)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.tally.Failed++
		v.tally.Notes = append(v.tally.Notes, strings.TrimSpace(line))
		if len(words) > 1 && words[1] == "resume" { // final: it begins anew
			v.held = ""
		}
		return soon()
	}
	if v.Say > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			tick := time.NewTicker(v.Say)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					fmt.Fprint(conn, "M\r\n")
				}
			}
		}()
	}
	conn.SetReadDeadline(time.Time{})
	for first := true; ; {
		line, err := in.ReadString('\n')
		if err != nil {
			v.note(func(t *Tally) { t.Breaks++ })
			v.event("the connection ended")
			return soon()
		}
		switch words := strings.Fields(line); {
		case len(words) == 0:
		case words[0] == "SCAN":
			x, _ := strconv.ParseUint(words[1], 10, 64)
			if v.scan(x, first); first {
				v.event("scan %d is the first that comes", x)
			}
			first = false
		case words[0] == "TOKEN":
			v.mu.Lock()
			v.held = words[2]
			v.mu.Unlock()
			fmt.Fprintf(conn, "GOT %s\r\n", words[1])
		case words[0] == "GAP":
			v.note(func(t *Tally) { t.Notes = append(t.Notes, strings.TrimSpace(line)) })
		case words[0] == "MOVE":
			v.note(func(t *Tally) { t.Moves++ })
			v.event("told to move; the last scan was %d", v.Tally().Last)
			return time.Duration(rand.IntN(20)) * time.Millisecond
		}
	}
}

// surplus counts what comes after a final answer as further answers.
func (v *Viewer) surplus(in *bufio.Reader) {
	if line, err := in.ReadString('\n'); err == nil {
		v.note(func(t *Tally) { t.Answers++; t.Notes = append(t.Notes, "second answer: "+strings.TrimSpace(line)) })
	}
}

func (v *Viewer) scan(x uint64, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	if t := &v.tally; t.Last != 0 {
		if first {
			t.Gaps = append(t.Gaps, now.Sub(t.LastAt))
		}
		switch {
		case x <= t.Last:
			t.Disorder++
			return
		case x > t.Last+1:
			t.Lost += x - t.Last - 1
		}
	}
	v.tally.Last, v.tally.LastAt = x, now
	v.tally.Scans++
}
