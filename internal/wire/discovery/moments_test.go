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

// script plays discovery: each call is answered by the next of its answers, the last one for good. An answer
// is the body of a watch; "HANG" says nothing at all, "RESET" ends the connection, and a body that ends in
// "HANG" or "RESET" does so after it. It returns the address, and what was asked for.
func script(t *testing.T, answers ...string) (string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan string, 64)
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
				for i := 0; i < len(body); i += 11 { // boundaries of chunks fall anywhere
					part := body[i:min(i+11, len(body))]
					fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
				}
			}
			asked <- strings.Fields(first)[1]
			switch {
			case resets:
				conn.Close()
			case !hangs: // it stands, and brings its empty lines
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
	return l.Addr().String(), asked
}

// whole is a whole list of a version with these servers, all ready.
func whole(version int, ids ...string) string {
	var list []string
	for _, id := range ids {
		const endpoint = `{"instanceId":%q,"hostPort":"127.0.0.1:1","zone":"{a\"}","lifecycle":"Ready"}`
		list = append(list, fmt.Sprintf(endpoint, id))
	}
	all := strings.Join(list, ",")
	return fmt.Sprintf("{\"generation\":%d,\"reset\":true,\"instances\":[%s]}\n", version, all)
}

// indented spreads a list over lines, an empty one among them.
func indented(list string) string {
	return strings.NewReplacer("{\"", "{\n\n  \"", ",", ",\n\t", "]", "\n]", "}\n", "\n}\n").Replace(list)
}

// What comes of calls at their rarest moments. The list held is s-1 of version 41, and each case says what is
// held in the end, how many calls that took, and whether the module heard of a failure before it.
func TestListIsTakenInWhateverACallBrings(t *testing.T) {
	change := `{"generation":50,"reset":false,"instances":[` +
		`{"instanceId":"s-9","hostPort":"127.0.0.1:9","lifecycle":"Ready"}]}` + "\n"
	good := whole(50, "s-9")
	for name, c := range map[string]struct {
		answers []string
		calls   int
		failed  bool
	}{
		"as it should be":                      {[]string{good}, 1, false},
		"indented":                             {[]string{indented(good)}, 1, false},
		"indented changes":                     {[]string{indented(change)}, 1, false},
		"the first call hangs":                 {[]string{"HANG", good}, 2, false},
		"the first call hangs in the middle":   {[]string{good[:30] + "HANG", good}, 2, false},
		"an indented list hangs in the middle": {[]string{indented(good)[:40] + "HANG", good}, 2, false},
		"the first call is reset":              {[]string{"RESET", good}, 2, true},
		"a list cut short":                     {[]string{good[:len(good)-9] + "RESET", good}, 2, true},
		"silent, and the next call hangs": {
			[]string{whole(45, "s-1") + "HANG", "HANG", good}, 3, false,
		},
		"silent in the middle of a line": {
			[]string{whole(45, "s-1") + change[:20] + "HANG", good}, 2, false,
		},
		"empty, and the next is not": {[]string{whole(42), good}, 2, false},
		"of an old version, and the next is not": {
			[]string{whole(45, "s-2"), whole(7, "s-3"), good}, 1, false,
		},
		"no list at all: garbage": {[]string{"}{\n", good}, 2, true},
		"a list that does not end, in lines or so": {
			[]string{"{" + strings.Repeat("\n", 5000) + "HANG", good}, 2, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, asked := script(t, c.answers...)
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
			client.to.deliver = func(kind decide.WatchKind, list []relay.Endpoint) {
				mu.Lock()
				defer mu.Unlock()
				if x.UpdateEndpoints(kind, list); kind == decide.WatchFailed {
					failures++
					client.Watch() // as the module would, after its backoff
				}
				empty = empty || x.EndpointCounts().Listed == 0
			}
			go client.Run(t.Context(), 41)
			client.Watch()
			if strings.HasPrefix(name, "of an old version") {
				// From the address that gave a newer one: in its own call.
				for client.ListVersion() != 45 {
					time.Sleep(time.Millisecond)
				}
				client.RestartWatch()
			}
			until := time.Now().Add(20 * time.Second)
			for ; client.ListVersion() != 50; time.Sleep(time.Millisecond) {
				if g := client.ListVersion(); g == 7 {
					t.Fatal("an old list was taken at its word")
				}
				if time.Now().After(until) {
					t.Fatalf("generation %d after 20 s, %d calls", client.ListVersion(), len(asked))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if s, ok := x.Server("s-9"); !ok || s.ID != "s-9" || empty {
				t.Errorf("the list in the end: %v, empty once: %v", ok, empty)
			}
			if (failures > 0) != c.failed || len(asked) < c.calls {
				t.Errorf("%d failures told, %d calls", failures, len(asked))
			}
		})
	}
}

// What takes back what is known is taken in once a second call says the same.
func TestListIsTakenInOnceConfirmed(t *testing.T) {
	address, asked := script(t, whole(42, "s-1"), whole(43), whole(43))
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
	if n := len(asked); n != 3 || x.EndpointCounts().Listed != 0 {
		t.Errorf("%d calls, %d servers listed", n, x.EndpointCounts().Listed)
	}
}

// A relay with an agent of its own, which pushes lists, watches without being asked to and opens each watch
// that ends anew: what the agent has counts as notified whether or not a watch is open. The module hears of
// no failure; its backoff is for a service that others call too. Without LocalAgent nothing was ever asked for,
// and the list of the start stood for the day.
func TestPushedListsAreWatchedForGood(t *testing.T) {
	address, asked := script(t, "RESET", whole(42, "s-1")+"RESET", "RESET", "RESET", whole(43, "s-9"))
	x := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	client := NewClient(address, x, zerolog.Nop())
	client.LocalAgent = true
	client.to.deliver = func(kind decide.WatchKind, list []relay.Endpoint) {
		if x.UpdateEndpoints(kind, list); kind == decide.WatchFailed {
			t.Error("the module was told of a failure")
		}
	}
	go client.Run(t.Context(), 41)
	for range 5 {
		select {
		case <-asked:
		case <-time.After(10 * time.Second):
			t.Fatal("not asked in 10 s")
		}
	}
	for client.ListVersion() != 43 {
		time.Sleep(time.Millisecond)
	}
}

// Only this side's deadline says that a watch is silent. A connection that the kernel gives up is broken, as
// one that is reset is: what a relay's own agent has then counts as notified at once.
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
			t.Errorf("%v: %v", err, got)
		}
	}
}
