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

// nowhere is a server side and a discovery that do nothing.
type nowhere struct{}

func (nowhere) StartAttempt(*relay.Request, relay.Attempt)                     {}
func (nowhere) Probe(_ relay.Server, _ func(decide.Status, decide.LoadReport)) {}
func (nowhere) Watch()                                                         {}
func (nowhere) Fetch()                                                         {}
func listText(whole bool, from, until int, mode string) string {
	var entries []string
	for i := from; i < until; i++ {
		entries = append(entries, fake.Entry(fmt.Sprintf("s-%08x", i*2654435761), fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), mode))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":%v,"instances":[%s]}`, until, whole, strings.Join(entries, ","))
}

// listed is a relay's core that takes lists in.
type listed struct {
	x    *relay.RequestTable
	core *relay.EventLoop
}

func newListed() *listed {
	site := &relay.Deployment{Zones: map[string]decide.Zone{"hall-a": 0}, Settings: decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true,
		Tick: relay.Duration(5), Classes: []decide.ClassInfo{{LatencyObjective: relay.Duration(300), Deadline: relay.Duration(3000)}}}}
	x := relay.NewRequestTable(site, relay.NewClock(), nowhere{})
	return &listed{x, relay.NewEventLoop(x, 7, nowhere{}, zerolog.Nop())}
}

func (l *listed) take(tb testing.TB, text string) {
	tb.Helper()
	list, err := discovery.ParseList(text, zerolog.Nop())
	if err != nil {
		tb.Fatal(err)
	}
	kind := decide.Delta
	if list.Complete {
		kind = decide.Snapshot
	}
	l.x.UpdateEndpoints(kind, list.Endpoints)
	l.core.Step()
}

// heapNow is the heap after a collection.
func heapNow() float64 {
	var figures runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&figures)
	return float64(figures.HeapAlloc)
}

// What a list of servers costs: bytes on the wire, processor time to parse and apply, heap, by the number of servers; and a
// change of one of them, which must not grow with the list.
func TestCostOfLists(t *testing.T) {
	sizes, turns := []int{100, 200, 400}, 5
	if long() {
		sizes, turns = []int{90, 330, 1000, 2500, 5000}, 40
	}
	var bytes, whole, delta, heap []Point
	for _, n := range sizes {
		text := listText(true, 0, n, "Ready")
		before := heapNow()
		l := newListed()
		l.take(t, text)
		size := float64(n)
		heap = append(heap, Point{size, heapNow() - before})
		bytes = append(bytes, Point{size, float64(len(text))})
		quickest := [2]time.Duration{time.Hour, time.Hour}
		for range turns {
			for i, change := range []string{text, listText(false, 0, 1, "Terminating")} {
				began := time.Now()
				l.take(t, change)
				quickest[i] = min(quickest[i], time.Since(began))
			}
		}
		whole = append(whole, Point{size, quickest[0].Seconds()})
		delta = append(delta, Point{size, quickest[1].Seconds()})
		t.Logf("%d servers: %d bytes, %v to take the list in, %v a change of one, heap %.0f bytes", n, len(text), quickest[0], quickest[1], heap[len(heap)-1].Value)
		runtime.KeepAlive(l)
	}
	for _, row := range []struct {
		what   string
		points []Point
	}{{"bytes of the list", bytes}, {"s to take it in", whole}, {"s to take in a change", delta}, {"heap", heap}} {
		line, err := Fit(row.points)
		if err != nil {
			t.Fatal(err)
		}
		early, _ := Fit(row.points[:len(row.points)-1])
		last := row.points[len(row.points)-1]
		t.Logf("%s: %.4g a server and %.4g; without the last size it is foretold with an error of %+.3f", row.what, line.Slope, line.Constant, Error(early.At(last.Size), last.Value))
	}
	if line, _ := Fit(bytes); line.Slope > 200 {
		t.Errorf("%.0f bytes a server", line.Slope)
	}
	if line, _ := Fit(heap); line.Slope > 4000 {
		t.Errorf("%.0f bytes of heap a server", line.Slope)
	}
}
