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

// Viewer is a client that watches one scan stream. It reconnects whenever its connection ends, with its
// resume token if it uses tokens.
type Viewer struct {
	Name         string
	OpenFields   string        // fields of its first lines, such as class and tenant, but not d
	WaitLimit    time.Duration // maximum time until an answer, sent as field d
	UseTokens    bool          // ask for a resume token and reconnect with it
	SendEvery    time.Duration // interval at which it sends a line; 0 means never
	RelayAddress func() string // called before each connection for the address to connect to
	OnEvent      func(string)  // if set, called for answers, ends and the first scan of connections

	mu    sync.Mutex
	token string // "" if it has no token
	stats ViewerStats
}

// ResumeToken returns the newest resume token, or "".
func (v *Viewer) ResumeToken() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.token
}

func (v *Viewer) reportEvent(format string, args ...any) {
	if v.OnEvent != nil {
		v.OnEvent(fmt.Sprintf(format, args...))
	}
}

// Run watches the stream until the context ends.
func (v *Viewer) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pause := v.watchOnce(ctx, n)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// retryDelay returns a random delay, so that viewers do not reconnect all at once.
func retryDelay() time.Duration { return time.Duration(10+rand.IntN(60)) * time.Millisecond }

// watchOnce opens the stream and reads it to its end. It returns how long to wait before the next connection.
func (v *Viewer) watchOnce(ctx context.Context, n int) time.Duration {
	relay := v.RelayAddress()
	conn, err := net.DialTimeout("tcp", relay, 500*time.Millisecond)
	if err != nil {
		v.updateStats(func(t *ViewerStats) { t.DialFailures++ })
		return retryDelay()
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	v.updateStats(func(t *ViewerStats) { t.FirstLinesSent++ })
	fmt.Fprintf(conn, "OPEN %s-%d %s,d=%d%s\r\n",
		v.Name, n, v.OpenFields, v.WaitLimit.Milliseconds(), v.resumeFields())
	conn.SetReadDeadline(time.Now().Add(v.WaitLimit + 3*time.Second))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		v.recordUnanswered(ctx, relay)
		return retryDelay()
	}
	v.updateStats(func(t *ViewerStats) { t.Answers++ })
	v.reportEvent("answered %s", strings.TrimSpace(line))
	if strings.Fields(line)[0] != "UP" {
		return v.recordRejection(in, line)
	}
	v.updateStats(func(t *ViewerStats) { t.Accepted++ })
	if v.SendEvery > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go v.sendLines(conn, stop)
	}
	conn.SetReadDeadline(time.Time{})
	return v.readStream(conn, in)
}

// resumeFields returns the fields of the next first line that request or present a resume token.
func (v *Viewer) resumeFields() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.UseTokens:
		return ""
	case v.token != "":
		return fmt.Sprintf(",resume=%s,pos=%d", v.token, v.stats.LastScan)
	case v.stats.LastScan > 0:
		return fmt.Sprintf(",resume=new,pos=%d", v.stats.LastScan)
	}
	return ",resume=new"
}

// recordUnanswered counts a connection that ended before its answer. A connection that was closed because the
// context ended does not count as opened.
func (v *Viewer) recordUnanswered(ctx context.Context, relay string) {
	v.updateStats(func(t *ViewerStats) {
		t.Disconnects++
		if ctx.Err() != nil {
			t.FirstLinesSent--
			return
		}
		t.Problems = append(t.Problems, "unanswered by "+relay)
	})
}

// recordRejection records an answer other than UP, and returns how long to wait before the next connection.
func (v *Viewer) recordRejection(in *bufio.Reader, line string) time.Duration {
	words := strings.Fields(line)
	if words[0] == "BUSY" {
		v.updateStats(func(t *ViewerStats) { t.Rejected++ })
		v.recordSecondAnswer(in)
		if len(words) > 1 {
			ms, _ := strconv.Atoi(words[1])
			return time.Duration(ms) * time.Millisecond
		}
		return retryDelay()
	}
	v.recordSecondAnswer(in)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stats.OtherAnswers++
	v.stats.Problems = append(v.stats.Problems, strings.TrimSpace(line))
	if len(words) > 1 && words[1] == "resume" { // the token is permanently invalid
		v.token = ""
	}
	return retryDelay()
}

// sendLines sends a line once per interval until stop is closed.
func (v *Viewer) sendLines(conn net.Conn, stop <-chan struct{}) {
	tick := time.NewTicker(v.SendEvery)
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

// readStream reads the stream to its end, and returns how long to wait before the next connection.
func (v *Viewer) readStream(conn net.Conn, in *bufio.Reader) time.Duration {
	for first := true; ; {
		line, err := in.ReadString('\n')
		if err != nil {
			v.updateStats(func(t *ViewerStats) { t.Disconnects++ })
			v.reportEvent("the connection ended")
			return retryDelay()
		}
		switch words := strings.Fields(line); {
		case len(words) == 0:
		case words[0] == "SCAN":
			x, _ := strconv.ParseUint(words[1], 10, 64)
			v.countScan(x, first)
			if first {
				v.reportEvent("scan %d is the first that comes", x)
			}
			first = false
		case words[0] == "TOKEN":
			v.mu.Lock()
			v.token = words[2]
			v.mu.Unlock()
			fmt.Fprintf(conn, "GOT %s\r\n", words[1])
		case words[0] == "GAP":
			v.updateStats(func(t *ViewerStats) { t.Problems = append(t.Problems, strings.TrimSpace(line)) })
		case words[0] == "MOVE":
			v.updateStats(func(t *ViewerStats) { t.Migrations++ })
			v.reportEvent("notified to move; the last scan was %d", v.Stats().LastScan)
			return time.Duration(rand.IntN(20)) * time.Millisecond
		}
	}
}

// recordSecondAnswer counts a line received after a final answer as another answer.
func (v *Viewer) recordSecondAnswer(in *bufio.Reader) {
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	v.updateStats(func(t *ViewerStats) {
		t.Answers++
		t.Problems = append(t.Problems, "second answer: "+strings.TrimSpace(line))
	})
}
