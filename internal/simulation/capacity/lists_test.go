package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/testing/fake"
	"capersail/internal/wire/discovery"
)

// noopBackend is a dialer of servers and a discovery that do nothing.
type noopBackend struct{}

// StartAttempt implements relay.ServerDialer.
func (noopBackend) StartAttempt(*relay.Request, relay.Attempt) {}

// Probe implements relay.ServerDialer.
func (noopBackend) Probe(_ relay.Server, _ func(decide.Status, decide.LoadReport)) {}

// Watch implements relay.Discovery.
func (noopBackend) Watch() {}

// Fetch implements relay.Discovery.
func (noopBackend) Fetch() {}

// listText returns the endpoints with numbers from from to until, the latter excluded, in discovery's format.
func listText(complete bool, from, until int, lifecycle string) string {
	var entries []string
	for i := from; i < until; i++ {
		id := fmt.Sprintf("s-%08x", i*2654435761)
		address := fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255)
		entries = append(entries, fake.EndpointJSON(id, address, lifecycle))
	}
	all := strings.Join(entries, ",")
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, until, complete, all)
}

// listReader is a relay's event loop that applies endpoint lists.
type listReader struct {
	table *relay.RequestTable
	loop  *relay.EventLoop
}

func newListReader() *listReader {
	deployment := &relay.Deployment{
		Zones: map[string]decide.Zone{"hall-a": 0},
		Settings: decide.Settings{
			Relays:      1,
			Zones:       1,
			MaxAttempts: 2,
			Probes:      true,
			Tick:        5 * time.Millisecond,
			Classes: []decide.ClassInfo{{
				LatencyObjective: 300 * time.Millisecond,
				Deadline:         3 * time.Second,
			}},
		},
	}
	table := relay.NewRequestTable(deployment, relay.NewClock(), noopBackend{})
	return &listReader{table, relay.NewEventLoop(table, 7, noopBackend{}, zerolog.Nop())}
}

// apply has the event loop parse and apply an endpoint list or a delta of it.
func (l *listReader) apply(tb testing.TB, text string) {
	tb.Helper()
	list, err := discovery.ParseList(text, zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	kind := decide.Delta
	if list.Complete {
		kind = decide.Snapshot
	}
	l.table.UpdateEndpoints(kind, list.Endpoints)
	l.loop.Step()
}

// collectedHeap returns the bytes of heap after a garbage collection.
func collectedHeap() float64 {
	var figures runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&figures)
	return float64(figures.HeapAlloc)
}

// Measures the cost of an endpoint list by the number of servers: bytes on the wire, heap, and the time to
// parse and apply the list and a change of one server. The bytes and the heap of a server are checked against
// limits.
func TestCostOfLists(t *testing.T) {
	sizes, rounds := []int{100, 200, 400}, 5
	if isLongRun() {
		sizes, rounds = []int{90, 330, 1000, 2500, 5000}, 40
	}
	var bytes, snapshot, delta, heap []Point
	for _, n := range sizes {
		text := listText(true, 0, n, "Ready")
		before := collectedHeap()
		l := newListReader()
		l.apply(t, text)
		size := float64(n)
		heap = append(heap, Point{size, collectedHeap() - before})
		bytes = append(bytes, Point{size, float64(len(text))})
		fastest := [2]time.Duration{time.Hour, time.Hour}
		for range rounds {
			for i, change := range []string{text, listText(false, 0, 1, "Terminating")} {
				startedAt := time.Now()
				l.apply(t, change)
				fastest[i] = min(fastest[i], time.Since(startedAt))
			}
		}
		snapshot = append(snapshot, Point{size, fastest[0].Seconds()})
		delta = append(delta, Point{size, fastest[1].Seconds()})
		t.Logf("%d servers: %d bytes, %v for the list, %v for a change of one, heap %.0f bytes",
			n, len(text), fastest[0], fastest[1], heap[len(heap)-1].Value)
		runtime.KeepAlive(l)
	}
	for _, row := range []struct {
		what   string
		points []Point
	}{
		{"bytes of the list", bytes},
		{"s to apply it", snapshot},
		{"s to apply a change", delta},
		{"heap", heap},
	} {
		line := mustFit(t, row.points)
		early, _ := Fit(row.points[:len(row.points)-1])
		last := row.points[len(row.points)-1]
		t.Logf("%s: %.4g a server and %.4g; without the last size it is predicted with an error of %+.3f",
			row.what, line.Slope, line.Constant, RelativeError(early.At(last.Size), last.Value))
	}
	if slope := mustFit(t, bytes).Slope; slope > 200 {
		t.Errorf("the list has %.0f bytes a server, want 200 at most", slope)
	}
	if slope := mustFit(t, heap).Slope; slope > 4000 {
		t.Errorf("the list takes %.0f bytes of heap a server, want 4000 at most", slope)
	}
}
