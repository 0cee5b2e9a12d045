package admin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

type fakeRelay struct {
	mu      sync.Mutex
	ready   bool
	ejected map[string]bool
}

func (r *fakeRelay) Ready() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.ready }
func (r *fakeRelay) Drain(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = !on
}
func (r *fakeRelay) Eject(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != "s1" {
		return fmt.Errorf("down %s: %w", id, ErrNeverListed)
	}
	r.ejected[id] = true
	return nil
}
func (r *fakeRelay) Readmit(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ejected, id)
	return nil
}

type fakeStats struct{}

func (fakeStats) ClassCounts() []relay.ClassCounts {
	return []relay.ClassCounts{{Established: 812, Rejected: 3, Failed: 1, Attempts: 900}, {Established: 5}}
}
func (fakeStats) OpenRequests() int { return 14 }
func (fakeStats) EndpointCounts() relay.EndpointCounts {
	return relay.EndpointCounts{Listed: 6, EjectedManually: 1, Ejected: 2}
}
func (fakeStats) GuardStats() relay.GuardStats {
	return relay.GuardStats{
		EndpointListAge:      1500 * time.Millisecond,
		EndpointLeaseExpired: true,
		Denials:              map[string]uint64{"list lapsed": 7},
		Rejections:           map[string]uint64{"no room": 2},
		Violations:           map[string]uint64{"drain": 0},
	}
}

func startServer(t *testing.T) (string, *fakeRelay) {
	base, r, _ := startServerAndGet(t)
	return base, r
}

func startServerAndGet(t *testing.T) (string, *fakeRelay, *Server) {
	t.Helper()
	r := &fakeRelay{ready: true, ejected: map[string]bool{}}
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewCollector(Front{Source: fakeStats{},
		Classes: []string{"map-stream", "alert-feed"}}))
	s, err := Listen("127.0.0.1:0", r, registry, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return "http://" + s.Addr().String(), r, s
}

func call(t *testing.T, method, url string) (int, string, bool) {
	t.Helper()
	req, _ := http.NewRequest(method, url, nil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body), res.Close
}

func TestCalls(t *testing.T) {
	base, r := startServer(t)
	for _, c := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/ops/readiness", 200},
		{"POST", "/ops/drain/start", 200},
		{"GET", "/ops/readiness", 503},
		{"POST", "/ops/drain/stop", 200},
		{"GET", "/ops/readiness", 200},
		{"POST", "/ops/tile-servers/down/s1", 200},
		{"POST", "/ops/tile-servers/down/s1", 200},
		{"POST", "/ops/tile-servers/down/never", 404},
		{"POST", "/ops/tile-servers/up/s1", 200},
		{"GET", "/ops/tile-servers/up/s1", 405},
		{"GET", "/ops/nothing", 404},
	} {
		code, _, closed := call(t, c.method, base+c.path)
		if code != c.want {
			t.Errorf("%s %s: got status %d, want %d", c.method, c.path, code, c.want)
		}
		if !closed {
			t.Errorf("%s %s: the connection was kept open, want it closed after one call", c.method, c.path)
		}
	}
	if len(r.ejected) != 0 {
		t.Errorf("still ejected after readmission: %v, want none", r.ejected)
	}
}

func TestMetrics(t *testing.T) {
	base, _ := startServer(t)
	_, text, _ := call(t, "GET", base+"/ops/stats")
	for _, want := range []string{
		`relay_answered{group="map-stream"} 812`,
		`relay_deferred{group="map-stream"} 3`,
		`relay_errored{group="map-stream"} 1`,
		`relay_sends{group="map-stream"} 900`,
		`relay_answered{group="alert-feed"} 5`,
		"relay_current 14",
		"relay_cluster_size 6",
		"relay_cluster_unhealthy 3",
		"relay_list_age_seconds 1.5",
		"relay_list_lapsed 1",
		`relay_denied{why="list lapsed"} 7`,
		`relay_refusals{why="no room"} 2`,
		`relay_violations{rule="drain"} 0`,
		"# TYPE relay_answered counter",
		"# TYPE relay_current gauge",
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("metrics lack the line %q; got\n%s", want, text)
		}
	}
}

// Callers that hold more connections than the limit without sending a complete call must not keep other
// callers out, and each of these connections is closed within callTimeout.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	base, _, s := startServerAndGet(t)
	address := strings.TrimPrefix(base, "http://")
	var silent []net.Conn
	for range 3 * MaxConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /ops/readi") // an incomplete call
		silent = append(silent, c)
	}
	for range 10 { // accepted after the silent callers, from the same queue
		if code, _, _ := call(t, "GET", base+"/ops/readiness"); code != 200 {
			t.Fatalf("readiness beside silent callers: got status %d, want 200", code)
		}
	}
	if held := s.listener.Open(); held > MaxConnections {
		t.Errorf("%d connections are open, want at most %d", held, MaxConnections)
	}
	// Each is closed, by eviction or by its timeout; a response with status 408 is accepted too.
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		_, err := bufio.NewReader(c).ReadString('\n')
		if e, ok := err.(net.Error); ok && e.Timeout() {
			t.Fatalf("the connection of silent caller %d was not closed within 30 s", i)
		}
	}
}

// Callers whose heads are too large are rejected, and their connections stay open for half a second more.
// That must not keep others waiting: every call has to be answered within callTimeout.
func TestRejectedCallersDoNotBlockOthers(t *testing.T) {
	base, _, _ := startServerAndGet(t)
	address := strings.TrimPrefix(base, "http://")
	for range 10 * MaxConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go fmt.Fprint(c, "GET /ops/readiness HTTP/1.1\r\nA: "+strings.Repeat("x", 60_000))
	}
	began := time.Now()
	code, _, _ := call(t, "GET", base+"/ops/readiness")
	if took := time.Since(began); code != 200 || took > callTimeout {
		t.Errorf("readiness beside rejected callers: got status %d after %v, want 200 within %v", code, took, callTimeout)
	}
}
