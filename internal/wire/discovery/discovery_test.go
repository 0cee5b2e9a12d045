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

const readyEndpointJSON = `{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a","lifecycle":"Ready"}`

func TestParseListSkipsMalformedEndpoints(t *testing.T) {
	cases := []struct {
		name, in  string
		endpoints int
		fails     bool
	}{
		{"no changes", `{"generation":3,"reset":false,"instances":[]}`, 0, false},
		{"one", `{"generation":3,"reset":true,"instances":[` + readyEndpointJSON + `]}`, 1, false},
		{"removed without an address", `{"instances":[{"instanceId":"s-1","lifecycle":"Gone"}]}`, 1, false},
		{"draining with a malformed address",
			`{"instances":[{"instanceId":"s-1","lifecycle":"Terminating","hostPort":"nowhere"}]}`, 1, false},
		{"draining without an address",
			`{"instances":[{"instanceId":"s-1","lifecycle":"Terminating"}]}`, 1, false},
		{"malformed ones are skipped", `{"instances":[{"instanceId":7},{"lifecycle":"Ready"},3,` +
			readyEndpointJSON + `,` +
			`{"instanceId":"x","lifecycle":"Ready","hostPort":"nowhere"},` +
			`{"instanceId":"x","lifecycle":"Odd"}]}`, 1, false},
		{"not an array", `{"instances":7}`, 0, true},
		{"not an object", `[]`, 0, true},
		{"truncated list", `{"instances":[`, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, err := ParseList(c.in, zerolog.Nop())
			if (err != nil) != c.fails || errors.Is(err, errMalformedList) != c.fails {
				t.Errorf("ParseList returned %+v, error %v; want errMalformedList as in the case", list, err)
			}
			if err == nil && len(list.Endpoints) != c.endpoints {
				t.Errorf("ParseList returned %+v, want the number of endpoints of the case", list)
			}
		})
	}
}

// A watch whose first line contains no change stays open, and later events are applied, also where an event
// is split over several chunks.
func TestWatchTakesInEventsAcrossChunks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	requestLines := make(chan string, 4)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		first, _ := r.ReadString('\n')
		requestLines <- first
		for line := first; strings.TrimSpace(line) != ""; line, _ = r.ReadString('\n') {
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		text := `{"generation":5,"reset":false,"instances":[]}` + "\n\n" +
			`{"generation":6,"reset":false,"instances":[` + readyEndpointJSON + "]}\n"
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
	if got := <-requestLines; !strings.HasPrefix(got, "GET "+path+" HTTP/1.1") {
		t.Errorf("request line %q, want a GET of the watch path", got)
	}
	if s, ok := x.Server("s-1"); !ok || s.Number != 0 || version != 6 {
		t.Errorf("server s-1: %+v, listed %v, version %d; want number 0, listed, version 6", s, ok, version)
	}
}

// After a change of the address discovery is watched there at once, with one call, after the current version.
// A service that does not know that version answers with the complete list. One that answers with changes of
// an older version counts its versions independently, and its complete list is fetched. The end of the old
// watch is not reported as a failure.
func TestNewAddressIsWatchedFromTheVersionHeld(t *testing.T) {
	requestedPaths := make(chan string, 8)
	service := func(generation int, knows bool) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			var open []net.Conn // keeps the connections from being garbage-collected, which would close them
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
				requestedPaths <- strings.Fields(first)[1]
			}
		}()
		return l.Addr().String()
	}
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	var logText strings.Builder
	c := NewClient(service(70, false), x, zerolog.New(&logText))
	var failures atomic.Int32
	c.consumer.deliver = func(kind decide.WatchKind, _ []relay.Endpoint) {
		if kind == decide.WatchFailed {
			failures.Add(1)
		}
	}
	go c.Run(t.Context(), 41)
	c.Watch()
	c.Watch() // a poll queued during a watch is answered with the end of that watch
	// want waits for a call and until its list has been applied. If the address changed before that, the next
	// call would ask for changes after the previous version.
	want := func(path string, version int64) {
		t.Helper()
		if got := <-requestedPaths; got != path {
			t.Errorf("path requested is %q, want %q", got, path)
		}
		deadline := time.Now().Add(10 * time.Second)
		for ; version > 0 && c.ListVersion() != version; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("list version %d after 10 s, want %d", c.ListVersion(), version)
			}
		}
	}
	want("/v1/endpoints?watch=1&after=41", 70)
	c.SetAddress(service(71, true)) // another instance of the same service
	want("/v1/endpoints?watch=1&after=70", 71)
	c.SetAddress(service(7, true)) // another service, which takes the version in the request for its own
	want("/v1/endpoints?watch=1&after=71", 0)
	want("/v1/endpoints", 7)
	want("/v1/endpoints?watch=1&after=7", 7)
	c.RestartWatch() // as when the watch may have fallen silent
	want("/v1/endpoints?watch=1&after=7", 7)
	c.SetAddress("127.0.0.1:1") // nothing listens there: a failure, notified once
	for failures.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.SetAddress(service(8, false)) // does not know the version in the request
	want("/v1/endpoints?watch=1&after=7", 8)
	if n := failures.Load(); n != 1 {
		t.Errorf("the decision module was notified of %d failures, want 1; log: %s", n, logText.String())
	}
}

// A watch that falls silent after its first list is reopened at once, after the version received last,
// without the decision module's backoff of up to 7.5 s, as the relay counts as notified of the missed events
// after 6 s. A watch without a first list is a failure, once a hedged call has been silent too.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	requestedPaths := make(chan string, 8)
	go func() {
		var open []net.Conn // keeps the connections from being garbage-collected, which would close them
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
			requestedPaths <- strings.Fields(first)[1]
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
	c.consumer.deliver = func(kind decide.WatchKind, _ []relay.Endpoint) {
		if kind == decide.WatchFailed {
			failed <- len(requestedPaths)
		}
	}
	go c.Run(t.Context(), 41)
	c.Watch()
	if n := <-failed; n != 4 {
		t.Errorf("the decision module was notified of a failure after %d calls, want 4", n)
	}
	for _, want := range []string{"after=41", "after=50", "after=51", "after=51"} {
		select {
		case got := <-requestedPaths:
			if !strings.HasSuffix(got, want) {
				t.Errorf("path requested is %q, want the suffix %q", got, want)
			}
		default:
			t.Errorf("no call for %q, want one", want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{"generation":3,"reset":true,"instances":[` + readyEndpointJSON + `]}`)
	f.Add(`{"instances":[{}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ParseList(text, zerolog.Nop())
		if err != nil {
			return
		}
		for _, endpoint := range list.Endpoints {
			if endpoint.ID == "" || endpoint.State != decide.Removed && endpoint.Address == "" {
				t.Errorf("ParseList returned an endpoint without an ID or an address: %+v", endpoint)
			}
		}
	})
}
