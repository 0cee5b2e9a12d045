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
	at decide.ServerID
}

const (
	enoughRoom = 1 << 24 // connections of tenants' quota: nothing is refused for want of room
	groups     = 5000
)

func newCrowded(servers, connections int) *crowded {
	set := decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, RetryAfter: true, MaxRetryAfter: time.Second, Tick: 5 * time.Millisecond, GroupAffinity: true,
		Classes: []decide.ClassInfo{{LatencyObjective: 800 * time.Millisecond, Deadline: 3200 * time.Millisecond, PriorityWeight: 1}},
		Tenants: []decide.TenantInfo{{ServiceShare: 1, ConnectionQuota: enoughRoom}},
		Rules:   decide.Rules{PollWithin: 10 * time.Second, SlowStartCapacity: 0.36, SlowStartWindow: 8600 * time.Millisecond, OverloadFactor: 4, OverloadWindow: 1500 * time.Millisecond}}
	c := &crowded{b: decide.New(set, 7), now: time.Hour, held: make([]int, servers)}
	var list []decide.Endpoint
	for i := range servers {
		list = append(list, decide.Endpoint{Server: decide.ServerID(i), State: decide.Ready, RendezvousKey: (uint64(i) + 1) * 0x9e3779b97f4a7c15})
	}
	c.feed(decide.WatchEvent{Kind: decide.Snapshot, Endpoints: list})
	for i := range connections {
		c.next++
		r, at := decide.Request{ID: c.next, TimeLeft: time.Hour, Group: 1 + uint64(i%groups)}, decide.ServerID(i%servers)
		c.feed(decide.Inherited{Request: r, Server: at})
		c.keep(c.next, at)
	}
	return c
}

func (c *crowded) keep(id decide.RequestID, at decide.ServerID) {
	c.open = append(c.open, placed{id, at})
	c.held[at]++
}

func (c *crowded) load(at decide.ServerID) float64 { return 0.35 + 0.001*float64(at%100) }

// feed gives the module one event, and answers probes and sends at once.
func (c *crowded) feed(ev decide.Event) {
	c.acts = c.b.Handle(c.now, ev, c.acts)
	for len(c.acts) > 0 {
		act := c.acts[0]
		c.acts = c.acts[1:]
		switch a := act.(type) {
		case decide.Probe:
			report := decide.LoadReport{Load: c.load(a.Server), InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}
			c.acts = c.b.Handle(c.now, decide.ProbeResult{Server: a.Server, Latency: time.Millisecond, Report: report}, c.acts)
		case decide.Forward:
			c.acts = c.b.Handle(c.now, decide.Opened{ID: a.ID, Server: a.Server, SetupLatency: 5 * time.Millisecond}, c.acts)
			c.keep(a.ID, a.Server)
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
	c.feed(decide.Outcome{ID: first.id, Server: first.at, Status: decide.OK, Closed: true, Report: decide.NoLoadReport})
	c.next++
	c.feed(decide.Request{ID: c.next, Key: uint64(c.next), TimeLeft: 2 * time.Second, Group: 1 + uint64(c.next)%groups})
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
