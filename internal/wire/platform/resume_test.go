package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/testing/fake"
	"capersail/internal/token"
	"capersail/internal/wire/connlimit"
)

// With resume tokens enabled, the fields resume and pos of a first line are for the relay only and must not
// be forwarded.
func TestResumeFieldsAreNotForwarded(t *testing.T) {
	for _, c := range []struct {
		name, in, out, token string
		position             uint64
		fails                string
	}{
		{"without", "OPEN a 0f c=m,d=2000,q=1", "OPEN a 0f c=m,d=70,q=1", "", 0, ""},
		{"new", "OPEN a 0f c=m,d=2000,resume=new", "OPEN a 0f c=m,d=70", "new", 0, ""},
		{"token field first", "OPEN a 0f resume=cs1.a.b=,pos=12,c=m,d=2000",
			"OPEN a 0f c=m,d=70", "cs1.a.b=", 12, ""},
		{"fields in the middle", "OPEN a 0f c=m,pos=3,t=x,resume=k,d=2000,g=5",
			"OPEN a 0f c=m,t=x,d=70,g=5", "k", 3, ""},
		{"a position alone", "OPEN a 0f c=m,d=2000,pos=5", "OPEN a 0f c=m,d=70", "", 0, ""},
		{"empty", "OPEN a 0f c=m,d=2000,resume=", "", "", 0, "is not name=value"},
		{"negative", "OPEN a 0f c=m,d=2000,resume=k,pos=-4", "", "", 0, "position: "},
		{"past all scans", "OPEN a 0f c=m,d=2000,resume=k,pos=9223372036854775807", "", "", 0, "position: "},
		{"token with previous server", "OPEN a 0f c=m,resume=k,at=s", "", "", 0, "exclude"},
		{"no fields", "OPEN a 0f", "", "", 0, "form"},
	} {
		o, err := parseResumableOpening([]byte(c.in + "\r\n"))
		if err != nil {
			if c.fails == "" || !strings.Contains(err.Error(), c.fails) {
				t.Errorf("%s: got parse error %v", c.name, err)
			}
			continue
		}
		got := strings.TrimSpace(string(o.encode(70*time.Millisecond, "")))
		wrongPosition := o.resumeToken != "" && o.position != c.position
		if got != c.out || o.resumeToken != c.token || wrongPosition || c.fails != "" {
			t.Errorf("%s: got forwarded line %q, token %q, position %d",
				c.name, got, o.resumeToken, o.position)
		}
	}
}

// newScanFlood starts a server that answers UP and then sends scans as fast as they are read. It returns its
// address.
func newScanFlood(b *testing.B) string {
	b.Helper()
	l := listen(b)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				line, err := in.ReadString('\n')
				for ; strings.HasPrefix(line, "STATS"); line, err = in.ReadString('\n') {
					if fmt.Fprint(conn, "PONG x0=0.1\r\n"); err != nil {
						return
					}
				}
				fmt.Fprint(conn, "UP 1 from=1\r\n")
				go in.WriteTo(new(bytes.Buffer))
				out := bufio.NewWriterSize(conn, 2048)
				for n := 1; ; n++ {
					_, err := fmt.Fprintf(out, "SCAN %d 0123456789abcdef0123456789abcdef\r\n", n)
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkLines measures the lines per second to one client with resume tokens disabled, enabled but not
// requested, and requested. The three cases alternate. Run it several times, as single results vary.
func BenchmarkLines(b *testing.B) {
	zk, err := fake.NewZooKeeper("/")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(zk.Close)
	ring, _ := token.NewKeyRing([]token.Key{{ID: "a", Secret: make([]byte, 32)}})
	clock := relay.NewClock()
	class := decide.ClassInfo{LatencyObjective: 300 * time.Millisecond, Deadline: 3 * time.Second}
	deployment := newDeployment(class)
	dialer := &ServerDialer{Clock: clock, ConnectTimeout: time.Second, MaxIdleProbeConns: 4}
	requests := relay.NewRequestTable(deployment, clock, dialer)
	requests.UpdateEndpoints(decide.Snapshot, []relay.Endpoint{
		{ID: "s", Address: newScanFlood(b), State: decide.Ready, SupportsResume: true},
	})
	service := resume.New(resume.Config{
		Relay:              "n",
		Servers:            []string{zk.Address},
		Path:               "/a",
		SessionTimeout:     8 * time.Second,
		AcquireTimeout:     500 * time.Millisecond,
		TokenLifetime:      time.Minute,
		TokenRenewInterval: 5 * time.Second,
	}, ring, clock, zerolog.Nop())
	go service.Run(b.Context())
	for service.ValidUntil() < clock.Now() {
		time.Sleep(time.Millisecond)
	}
	go relay.NewEventLoop(requests, 7, noDiscovery{}, zerolog.Nop()).Run(b.Context())
	kinds := []struct {
		name, more string
		on         bool
	}{{"off", "", false}, {"on, not asked for", "", true}, {"with a token", ",resume=new", true}}
	spent, lines := make([]time.Duration, len(kinds)), make([]int, len(kinds))
	n := 0
	for b.Loop() {
		for i, k := range kinds {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			limiter := connlimit.New(clock, 64, zerolog.Nop())
			f := &Frontend{Requests: requests, Deployment: deployment, Limiter: limiter}
			if k.on {
				f.Resume = service
			}
			go f.Serve(l)
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			n++
			fmt.Fprintf(conn, "OPEN %d 7f c=m,d=3000%s\r\n", n, k.more)
			in := bufio.NewReaderSize(conn, 64<<10)
			for range 2000 { // warm-up: reaches a steady rate and receives the token
				in.ReadSlice('\n')
			}
			began := time.Now()
			for range 100_000 {
				if _, err := in.ReadSlice('\n'); err != nil {
					b.Fatal(err)
				}
			}
			spent[i] += time.Since(began)
			lines[i] += 100_000
			conn.Close()
			l.Close()
		}
	}
	for i, k := range kinds {
		b.ReportMetric(float64(lines[i])/spent[i].Seconds(), strings.ReplaceAll(k.name, " ", "_")+"_lines/s")
	}
	b.ReportMetric(spent[0].Seconds()/spent[2].Seconds(), "with/off")
}
