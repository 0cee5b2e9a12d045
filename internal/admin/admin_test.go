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
	mu    sync.Mutex
	ready bool
	out   map[string]bool
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
	r.out[id] = true
	return nil
}
func (r *fakeRelay) Readmit(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.out, id)
	return nil
}

type source struct{}

func (source) ClassCounts() []relay.ClassCounts {
	return []relay.ClassCounts{{Established: 812, Rejected: 3, Failed: 1, Attempts: 900}, {Established: 5}}
}
func (source) OpenRequests() int { return 14 }
func (source) EndpointCounts() relay.EndpointCounts {
	return relay.EndpointCounts{Listed: 6, EjectedManually: 1, Ejected: 2}
}
func (source) GuardStats() relay.GuardStats {
	return relay.GuardStats{
		EndpointListAge:      1500 * time.Millisecond,
		EndpointLeaseExpired: true,
		Denials:              map[string]uint64{"list lapsed": 7},
		Rejections:           map[string]uint64{"no room": 2},
		Violations:           map[string]uint64{"drain": 0},
	}
}

func serve(t *testing.T) (string, *fakeRelay) {
	base, r, _ := serveOn(t)
	return base, r
}

func serveOn(t *testing.T) (string, *fakeRelay, *Server) {
	t.Helper()
	r := &fakeRelay{ready: true, out: map[string]bool{}}
	figures := prometheus.NewRegistry()
	figures.MustRegister(NewCollector(Front{Source: source{}, Classes: []string{"map-stream", "alert-feed"}}))
	s, err := Listen("127.0.0.1:0", r, figures, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(func() { s.Close() })
	return "http://" + s.Addr().String(), r, s
}

func do(t *testing.T, method, url string) (int, string, bool) {
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
	base, r := serve(t)
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
		code, _, closed := do(t, c.method, base+c.path)
		if code != c.want {
			t.Errorf("%s %s: %d, want %d", c.method, c.path, code, c.want)
		}
		if !closed {
			t.Errorf("%s %s: the connection is kept; one call a connection", c.method, c.path)
		}
	}
	if len(r.out) != 0 {
		t.Errorf("out: %v", r.out)
	}
}

func TestFigures(t *testing.T) {
	base, _ := serve(t)
	_, text, _ := do(t, "GET", base+"/ops/stats")
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
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}

// A crowd of callers that hold their connections without a complete call keeps nobody else out, and each of
// them is let go after a second at most.
func TestCrowd(t *testing.T) {
	base, _, s := serveOn(t)
	address := strings.TrimPrefix(base, "http://")
	var silent []net.Conn
	for range 3 * MaxConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /ops/readi") // never a complete call
		silent = append(silent, c)
	}
	for range 10 { // accepted after the crowd, from the same queue
		if code, _, _ := do(t, "GET", base+"/ops/readiness"); code != 200 {
			t.Fatalf("beside a crowd: %d", code)
		}
	}
	s.listener.mu.Lock()
	if held := len(s.listener.silent); held > MaxConnections {
		t.Errorf("%d connections held, at most %d wanted", held, MaxConnections)
	}
	s.listener.mu.Unlock()
	// Each is closed, pushed out or at the end of its second; an answer (408) is as good.
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		_, err := bufio.NewReader(c).ReadString('\n')
		if e, ok := err.(net.Error); ok && e.Timeout() {
			t.Fatalf("silent caller %d is held", i)
		}
	}
}
