package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
)

const ready = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"Ready"}`

func TestParseListSkipsMalformedEndpoints(t *testing.T) {
	cases := []struct {
		name, in  string
		endpoints int
		fails     bool
	}{
		{"nothing has changed", `{"generation":3,"reset":false,"instances":[]}`, 0, false},
		{"one", `{"generation":3,"reset":true,"instances":[` + ready + `]}`, 1, false},
		{"gone without an address", `{"instances":[{"instanceId":"s-1","lifecycle":"Gone"}]}`, 1, false},
		{"draining at no address",
			`{"instances":[{"instanceId":"s-1","lifecycle":"Terminating","hostPort":"nowhere"}]}`, 1, false},
		{"draining with no address",
			`{"instances":[{"instanceId":"s-1","lifecycle":"Terminating"}]}`, 1, false},
		{"bad ones are skipped", `{"instances":[{"instanceId":7},{"lifecycle":"Ready"},3,` + ready + `,` +
			`{"instanceId":"x","lifecycle":"Ready","hostPort":"nowhere"},` +
			`{"instanceId":"x","lifecycle":"Odd"}]}`, 1, false},
		{"not an array", `{"instances":7}`, 0, true},
		{"not an object", `[]`, 0, true},
		{"cut off", `{"instances":[`, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, err := ParseList(c.in, zerolog.Nop())
			if (err != nil) != c.fails || errors.Is(err, errMalformedList) != c.fails {
				t.Errorf("%+v, %v", list, err)
			}
			if err == nil && len(list.Endpoints) != c.endpoints {
				t.Errorf("%+v", list)
			}
		})
	}
}

// A watch whose first line brings no change stays open; what comes later, however the chunks fall, counts.
func TestWatchTakesInEventsAcrossChunks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan string, 4)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		first, _ := r.ReadString('\n')
		asked <- first
		for line := first; strings.TrimSpace(line) != ""; line, _ = r.ReadString('\n') {
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		text := `{"generation":5,"reset":false,"instances":[]}` + "\n\n" +
			`{"generation":6,"reset":false,"instances":[` + ready + "]}\n"
		for i := 0; i < len(text); i += 7 {
			part := text[i:min(i+7, len(text))]
			fmt.Fprintf(conn, "%x;x=y\r\n%s\r\n", len(part), part)
		}
		fmt.Fprint(conn, "0\r\n\r\n")
	}()
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	c := NewClient(l.Addr().String(), x, zerolog.Nop())
	version := int64(4)
	const path = "/v1/endpoints?watch=1&after=4"
	if err := c.streamLists(t.Context(), l.Addr().String(), path, &version); err != nil {
		t.Fatal(err)
	}
	if got := <-asked; !strings.HasPrefix(got, "GET "+path+" HTTP/1.1") {
		t.Errorf("asked %q", got)
	}
	if s, ok := x.Server("s-1"); !ok || s.Number != 0 || version != 6 {
		t.Errorf("the change was not taken in: %+v, %v, version %d", s, ok, version)
	}
}

// At another address discovery is polled at once, in one call: for what changed after the version held, to
// which a service that does not know that version answers with the complete list. One that answers with
// changes of an older version counts its own, and is asked for all of it. The end of the old watch is no
// failure.
func TestNewAddressIsWatchedFromTheVersionHeld(t *testing.T) {
	asked := make(chan string, 8)
	service := func(generation int, knows bool) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			var open []net.Conn // or the collector closes them, and watches end
			for {
				conn, err := l.Accept()
				if err != nil {
					for _, c := range open {
						c.Close()
					}
					return
				}
				open = append(open, conn)
				r := bufio.NewReader(conn)
				first, _ := r.ReadString('\n')
				for line := first; strings.TrimSpace(line) != ""; line, _ = r.ReadString('\n') {
				}
				watch := strings.Contains(first, "watch")
				complete := !knows || !watch
				list := fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[]}`+"\n", generation, complete)
				if watch {
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					fmt.Fprintf(conn, "%x\r\n%s\r\n", len(list), list)
				} else {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
				}
				asked <- strings.Fields(first)[1]
			}
		}()
		return l.Addr().String()
	}
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	var said strings.Builder
	c := NewClient(service(70, false), x, zerolog.New(&said))
	var failures atomic.Int32
	c.to.deliver = func(kind decide.WatchKind, _ []relay.Endpoint) {
		if kind == decide.WatchFailed {
			failures.Add(1)
		}
	}
	go c.Run(t.Context(), 41)
	c.Watch()
	c.Watch() // a poll that waits while a watch is out is answered with it
	// want waits for a call, and until what it brings has been taken in: a move in between would ask after
	// the version before.
	want := func(path string, version int64) {
		t.Helper()
		if got := <-asked; got != path {
			t.Errorf("asked for %q, want %q", got, path)
		}
		deadline := time.Now().Add(10 * time.Second)
		for ; version > 0 && c.ListVersion() != version; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("generation %d, want %d", c.ListVersion(), version)
			}
		}
	}
	want("/v1/endpoints?watch=1&after=41", 70)
	c.SetAddress(service(71, true)) // the same service's
	want("/v1/endpoints?watch=1&after=70", 71)
	c.SetAddress(service(7, true)) // another one, which takes our version for its own
	want("/v1/endpoints?watch=1&after=71", 0)
	want("/v1/endpoints", 7)
	want("/v1/endpoints?watch=1&after=7", 7)
	c.RestartWatch() // out of turn: the watch may have gone silent
	want("/v1/endpoints?watch=1&after=7", 7)
	c.SetAddress("127.0.0.1:1") // nobody is there: that is a failure, told once
	for failures.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.SetAddress(service(8, false)) // and the list there is still unknown
	want("/v1/endpoints?watch=1&after=7", 8)
	if n := failures.Load(); n != 1 {
		t.Errorf("the module was told of %d failures: %s", n, said.String())
	}
}

// A watch that has begun and falls silent is opened anew at once, after the version that came last, and the
// module's backoff of up to 7.5 s is not waited for: what was missed counts as notified 6 s later. One that
// is silent from its begin is a failure, once a second call beside it has been silent too.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	asked := make(chan string, 8)
	go func() {
		var open []net.Conn // or the collector closes them, and they are not silent
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				for _, c := range open {
					c.Close()
				}
				return
			}
			open = append(open, conn)
			first, _ := bufio.NewReader(conn).ReadString('\n')
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			if n < 2 {
				list := fmt.Sprintf("{\"generation\":%d,\"reset\":true,\"instances\":[]}\n", 50+n)
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(list), list)
			}
			asked <- strings.Fields(first)[1]
		}
	}()
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	c := NewClient(l.Addr().String(), x, zerolog.Nop())
	c.timeouts = timeouts{
		response: 700 * time.Millisecond,
		hedge:    100 * time.Millisecond,
		silence:  700 * time.Millisecond,
	}
	failed := make(chan int, 8)
	c.to.deliver = func(kind decide.WatchKind, _ []relay.Endpoint) {
		if kind == decide.WatchFailed {
			failed <- len(asked)
		}
	}
	go c.Run(t.Context(), 41)
	c.Watch()
	if n := <-failed; n != 4 {
		t.Errorf("the module was told of a failure after %d calls", n)
	}
	for _, want := range []string{"after=41", "after=50", "after=51", "after=51"} {
		select {
		case got := <-asked:
			if !strings.HasSuffix(got, want) {
				t.Errorf("asked for %q, want %q", got, want)
			}
		default:
			t.Errorf("not asked for %q", want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"generation":3,"reset":true,"instances":[` + ready + `]}`)
	f.Add(`{"instances":[{}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ParseList(text, zerolog.Nop())
		if err != nil {
			return
		}
		for _, endpoint := range list.Endpoints {
			if endpoint.ID == "" || endpoint.State != decide.Removed && endpoint.Address == "" {
				t.Errorf("an endpoint without a name or an address came through: %+v", endpoint)
			}
		}
	})
}
