package capacity

import (
	"runtime"
	"testing"
	"time"

	"capersail/decide"
)

// crowded is a decision module that holds connections, with a request and an end a step.
type crowded struct {
	b    *decide.Balancer
	now  time.Duration
	held []int // by server
	open []placed
	next decide.RequestID
	acts []decide.Action
}

type placed struct {
	id decide.RequestID
	at decide.Backend
}

const (
	enoughRoom = 1 << 24 // connections of tenants' quota: nothing is refused for want of room
	groups     = 5000
)

func newCrowded(servers, connections int) *crowded {
	set := decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, RetryAfter: true, MaxRetryAfter: time.Second, Tick: 5 * time.Millisecond, Groups: true,
		Classes: []decide.ClassInfo{{Aim: 800 * time.Millisecond, Deadline: 3200 * time.Millisecond, Worth: 1}},
		Tenants: []decide.TenantInfo{{Share: 1, Quota: enoughRoom}},
		Rules:   decide.Rules{AskWithin: 10 * time.Second, StartCapacity: 0.36, Cold: 8600 * time.Millisecond, FallMultiple: 4, FallFor: 1500 * time.Millisecond}}
	c := &crowded{b: decide.New(set, 7), now: time.Hour, held: make([]int, servers)}
	var list []decide.Entry
	for i := range servers {
		list = append(list, decide.Entry{Backend: decide.Backend(i), Mode: decide.Ready, Spot: (uint64(i) + 1) * 0x9e3779b97f4a7c15})
	}
	c.feed(decide.Members{Kind: decide.Whole, Entries: list})
	for i := range connections {
		c.next++
		r, at := decide.Request{ID: c.next, Left: time.Hour, Group: 1 + uint64(i%groups)}, decide.Backend(i%servers)
		c.feed(decide.Inherited{Request: r, Backend: at})
		c.keep(c.next, at)
	}
	return c
}

func (c *crowded) keep(id decide.RequestID, at decide.Backend) {
	c.open = append(c.open, placed{id, at})
	c.held[at]++
}

func (c *crowded) load(at decide.Backend) float64 { return 0.35 + 0.001*float64(at%100) }

// feed gives the module one event, and answers probes and sends at once.
func (c *crowded) feed(ev decide.Event) {
	c.acts = c.b.Handle(c.now, ev, c.acts)
	for len(c.acts) > 0 {
		act := c.acts[0]
		c.acts = c.acts[1:]
		switch a := act.(type) {
		case decide.Probe:
			report := decide.Report{Load: c.load(a.Backend), Inflight: -1, Errors: -1, Busy: -1}
			c.acts = c.b.Handle(c.now, decide.Probed{Backend: a.Backend, Took: time.Millisecond, Report: report}, c.acts)
		case decide.Send:
			c.acts = c.b.Handle(c.now, decide.Opened{ID: a.ID, Backend: a.Backend, Took: 5 * time.Millisecond}, c.acts)
			c.keep(a.ID, a.Backend)
		}
	}
	c.acts = c.acts[:0]
}

// step is one request, and the end of the oldest connection.
func (c *crowded) step() {
	c.now += time.Millisecond
	first := c.open[0]
	c.open = c.open[1:]
	c.held[first.at]--
	c.feed(decide.Outcome{ID: first.id, Backend: first.at, Status: decide.OK, Closed: true, Report: decide.NoReport})
	c.next++
	c.feed(decide.Request{ID: c.next, Key: uint64(c.next), Left: 2 * time.Second, Group: 1 + uint64(c.next)%groups})
}

// What a decision costs by the number of servers and of held connections, and the module's bytes for either.
func TestCostOfDecisions(t *testing.T) {
	sizes, steps := [][2]int{{10, 500}, {100, 500}, {100, 2000}}, 300
	if long() {
		sizes = [][2]int{{10, 10_000}, {90, 10_000}, {330, 10_000}, {1000, 10_000}, {5000, 10_000}, {330, 1000}, {330, 20_000}, {330, 52_000}, {330, 75_000}}
		steps = 5000
	}
	const bound = 64 << 10 // bytes of the module's heap a server or a connection; a list kept for each would show
	for _, size := range sizes {
		before := heapNow()
		c := newCrowded(size[0], size[1])
		heap := heapNow() - before
		for range steps / 5 {
			c.step()
		}
		began := time.Now()
		for range steps {
			c.step()
		}
		each := time.Since(began) / time.Duration(steps)
		t.Logf("%5d servers, %6d connections: %v a request with its end, heap %.0f bytes", size[0], size[1], each, heap)
		if len(c.open) < size[1]-steps/5 {
			t.Errorf("%d connections of %d are left: requests were not served", len(c.open), size[1])
		}
		if heap > bound*float64(size[0]+size[1]) {
			t.Errorf("%.0f bytes of heap", heap)
		}
		runtime.KeepAlive(c)
	}
}
