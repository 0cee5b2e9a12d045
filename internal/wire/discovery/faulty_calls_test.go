package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
)

// startScriptedDiscovery starts a fake discovery that gives each call the next of the answers, and the last
// one to all calls after it. An answer is the body of a watch. "HANG" sends nothing, "RESET" closes the
// connection, and a body with one of them as its suffix is sent before that. It returns the address, and a
// channel with the paths requested.
func startScriptedDiscovery(t *testing.T, answers ...string) (string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	paths := make(chan string, 64)
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			first, _ := bufio.NewReader(conn).ReadString('\n')
			body, hangs := strings.CutSuffix(answers[min(n, len(answers)-1)], "HANG")
			body, resets := strings.CutSuffix(body, "RESET")
			if body != "" {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for i := 0; i < len(body); i += 11 { // chunk boundaries do not match the lines
					part := body[i:min(i+11, len(body))]
					fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
				}
			}
			paths <- strings.Fields(first)[1]
			switch {
			case resets:
				conn.Close()
			case !hangs: // the watch stays open and delivers empty lines
				go func() {
					for {
						time.Sleep(50 * time.Millisecond)
						if _, err := fmt.Fprint(conn, "1\r\n\n\r\n"); err != nil {
							return
						}
					}
				}()
			}
		}
	}()
	return l.Addr().String(), paths
}

// snapshotJSON returns a complete list of a version with these servers, all ready.
func snapshotJSON(version int, ids ...string) string {
	var list []string
	for _, id := range ids {
		const endpoint = `{"instanceId":%q,"hostPort":"127.0.0.1:1","zone":"{a\"}","lifecycle":"Ready"}`
		list = append(list, fmt.Sprintf(endpoint, id))
	}
	all := strings.Join(list, ",")
	return fmt.Sprintf("{\"generation\":%d,\"reset\":true,\"instances\":[%s]}\n", version, all)
}

// indentJSON spreads a list over several lines, one of them empty.
func indentJSON(list string) string {
	return strings.NewReplacer("{\"", "{\n\n  \"", ",", ",\n\t", "]", "\n]", "}\n", "\n}\n").Replace(list)
}

// The new list is applied although calls before it hang, are reset, or deliver truncated, empty, old or
// malformed lists. The client starts with server s-1 of version 41, and ends with s-9 of version 50. Each
// case says how many calls that takes at least, and whether the decision module is notified of a failure
// before it.
func TestListIsAppliedDespiteFaultyCalls(t *testing.T) {
	change := `{"generation":50,"reset":false,"instances":[` +
		`{"instanceId":"s-9","hostPort":"127.0.0.1:9","lifecycle":"Ready"}]}` + "\n"
	good := snapshotJSON(50, "s-9")
	for name, c := range map[string]struct {
		answers []string
		calls   int
		failed  bool
	}{
		"no fault":                             {[]string{good}, 1, false},
		"indented":                             {[]string{indentJSON(good)}, 1, false},
		"an indented delta":                    {[]string{indentJSON(change)}, 1, false},
		"the first call hangs":                 {[]string{"HANG", good}, 2, false},
		"the first call hangs in the middle":   {[]string{good[:30] + "HANG", good}, 2, false},
		"an indented list hangs in the middle": {[]string{indentJSON(good)[:40] + "HANG", good}, 2, false},
		"the first call is reset":              {[]string{"RESET", good}, 2, true},
		"a truncated list":                     {[]string{good[:len(good)-9] + "RESET", good}, 2, true},
		"silent, and the next call hangs": {
			[]string{snapshotJSON(45, "s-1") + "HANG", "HANG", good}, 3, false,
		},
		"silent in the middle of a line": {
			[]string{snapshotJSON(45, "s-1") + change[:20] + "HANG", good}, 2, false,
		},
		"empty, and the next is not": {[]string{snapshotJSON(42), good}, 2, false},
		"of an old version, and the next is not": {
			[]string{snapshotJSON(45, "s-2"), snapshotJSON(7, "s-3"), good}, 1, false,
		},
		"a malformed list": {[]string{"}{\n", good}, 2, true},
		"a list without an end": {
			[]string{"{" + strings.Repeat("\n", 5000) + "HANG", good}, 2, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, paths := startScriptedDiscovery(t, c.answers...)
			x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
			held := relay.Endpoint{ID: "s-1", Address: "127.0.0.1:1", State: decide.Ready}
			x.UpdateEndpoints(decide.CachedSnapshot, []relay.Endpoint{held})
			client := NewClient(address, x, zerolog.Nop())
			client.timeouts = timeouts{
				response: 5 * time.Second,
				hedge:    200 * time.Millisecond,
				silence:  400 * time.Millisecond,
			}
			failures, empty := 0, false
			var mu sync.Mutex
			client.consumer.deliver = func(kind decide.WatchKind, list []relay.Endpoint) {
				mu.Lock()
				defer mu.Unlock()
				if x.UpdateEndpoints(kind, list); kind == decide.WatchFailed {
					failures++
					client.Watch() // as the decision module would do, after its backoff
				}
				empty = empty || x.EndpointCounts().Listed == 0
			}
			go client.Run(t.Context(), 41)
			client.Watch()
			if strings.HasPrefix(name, "of an old version") {
				// An older list is deferred only after a newer one from the same address, in another call.
				for client.ListVersion() != 45 {
					time.Sleep(time.Millisecond)
				}
				client.RestartWatch()
			}
			until := time.Now().Add(20 * time.Second)
			for ; client.ListVersion() != 50; time.Sleep(time.Millisecond) {
				if g := client.ListVersion(); g == 7 {
					t.Fatal("list of old version 7 was applied without confirmation")
				}
				if time.Now().After(until) {
					t.Fatalf("version %d after 20 s and %d calls, want 50", client.ListVersion(), len(paths))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if s, ok := x.Server("s-9"); !ok || s.ID != "s-9" || empty {
				t.Errorf("s-9 is listed at the end: %v, the list was empty: %v; want true, false", ok, empty)
			}
			if (failures > 0) != c.failed || len(paths) < c.calls {
				t.Errorf("notified of %d failures after %d calls, want as in the case", failures, len(paths))
			}
		})
	}
}

// An empty list is applied once a second call has delivered an empty list too.
func TestListIsTakenInOnceConfirmed(t *testing.T) {
	address, paths := startScriptedDiscovery(t, snapshotJSON(42, "s-1"), snapshotJSON(43), snapshotJSON(43))
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	client := NewClient(address, x, zerolog.Nop())
	go client.Run(t.Context(), 41)
	client.Watch()
	for client.ListVersion() != 42 {
		time.Sleep(time.Millisecond)
	}
	client.RestartWatch()
	for client.ListVersion() != 43 {
		time.Sleep(time.Millisecond)
	}
	if n := len(paths); n != 3 || x.EndpointCounts().Listed != 0 {
		t.Errorf("%d calls and %d servers listed, want 3 and 0", n, x.EndpointCounts().Listed)
	}
}

// A relay with a local agent, which pushes lists, opens the watch without a request of the decision module
// and reopens it whenever it ends, as the relay counts as notified of the agent's changes even while no watch
// is open. The decision module is notified of no failure, as its backoff is for a service with several
// callers. Guards against a relay that never calls its agent and keeps the list of its start all day.
func TestLocalAgentIsWatchedPermanently(t *testing.T) {
	address, paths := startScriptedDiscovery(t, "RESET", snapshotJSON(42, "s-1")+"RESET",
		"RESET", "RESET", snapshotJSON(43, "s-9"))
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	client := NewClient(address, x, zerolog.Nop())
	client.LocalAgent = true
	client.consumer.deliver = func(kind decide.WatchKind, list []relay.Endpoint) {
		if x.UpdateEndpoints(kind, list); kind == decide.WatchFailed {
			t.Error("the decision module was notified of a failure, want none for a local agent")
		}
	}
	go client.Run(t.Context(), 41)
	for range 5 {
		select {
		case <-paths:
		case <-time.After(10 * time.Second):
			t.Fatal("no call to discovery within 10 s")
		}
	}
	for client.ListVersion() != 43 {
		time.Sleep(time.Millisecond)
	}
}

// Only the deadline that the client has set means that a watch is silent. A connection that the kernel has
// given up with ETIMEDOUT is broken, like one that was reset, and a relay counts as notified at once of the
// changes at its local agent.
func TestBrokenConnectionIsNoSilentWatch(t *testing.T) {
	for err, want := range map[error]bool{
		os.ErrDeadlineExceeded: true,
		syscall.ETIMEDOUT:      false,
		syscall.EHOSTUNREACH:   false,
		syscall.ECONNRESET:     false,
		io.EOF:                 false,
	} {
		read := &net.OpError{Op: "read", Net: "tcp", Err: err}
		if got := deadlineExceeded(read); got != want {
			t.Errorf("deadlineExceeded for %v is %v, want the opposite", err, got)
		}
	}
}
