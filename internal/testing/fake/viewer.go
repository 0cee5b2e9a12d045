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

// Held is the token that it has.
func (v *Viewer) Held() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.held
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
	v.note(func(t *Tally) { t.Openings++ })
	fmt.Fprintf(conn, "OPEN %s-%d %s,d=%d%s\r\n", v.Name, n, v.Fields, v.Wait.Milliseconds(), v.resumeFields())
	conn.SetReadDeadline(time.Now().Add(v.Wait + 3*time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		v.noteUnanswered(ctx, relay)
		return soon()
	}
	v.note(func(t *Tally) { t.Answers++ })
	v.event("answered %s", strings.TrimSpace(line))
	if strings.Fields(line)[0] != "UP" {
		return v.rejected(in, line)
	}
	v.note(func(t *Tally) { t.Ups++ })
	if v.Say > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go v.talk(conn, stop)
	}
	conn.SetReadDeadline(time.Time{})
	return v.follow(conn, in)
}

// resumeFields returns the fields of the next first line that ask for a token or show one.
func (v *Viewer) resumeFields() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.Token:
		return ""
	case v.held != "":
		return fmt.Sprintf(",resume=%s,pos=%d", v.held, v.tally.Last)
	case v.tally.Last > 0:
		return fmt.Sprintf(",resume=new,pos=%d", v.tally.Last)
	}
	return ",resume=new"
}

// noteUnanswered counts a connection that ended before its answer. One that Run's end cut was not opened.
func (v *Viewer) noteUnanswered(ctx context.Context, relay string) {
	v.note(func(t *Tally) {
		t.Breaks++
		if ctx.Err() != nil {
			t.Openings--
			return
		}
		t.Notes = append(t.Notes, "unanswered by "+relay)
	})
}

// rejected notes an answer other than UP, and returns how long to wait before the next time.
func (v *Viewer) rejected(in *bufio.Reader, line string) time.Duration {
	words := strings.Fields(line)
	if words[0] == "BUSY" {
		v.note(func(t *Tally) { t.Busy++ })
		v.surplus(in)
		if len(words) > 1 {
			ms, _ := strconv.Atoi(words[1])
			return time.Duration(ms) * time.Millisecond
		}
		return soon()
	}
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

// talk sends a line each period until stop is closed.
func (v *Viewer) talk(conn net.Conn, stop <-chan struct{}) {
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
}

// follow reads the stream to its end, and returns how long to wait before the next time.
func (v *Viewer) follow(conn net.Conn, in *bufio.Reader) time.Duration {
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
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	v.note(func(t *Tally) {
		t.Answers++
		t.Notes = append(t.Notes, "second answer: "+strings.TrimSpace(line))
	})
}
