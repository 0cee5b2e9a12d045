package capacity

import (
	"runtime"
	"testing"
	"time"

	"capersail/decide"
)

// loadedBalancer is a decision module that holds connections, with a request and an end a step.
type loadedBalancer struct {
	balancer     *decide.Balancer
	now          time.Duration
	openByServer []int // by server
	connections  []connection
	lastID       decide.RequestID
	actions      []decide.Action
}

type connection struct {
	id     decide.RequestID
	server decide.ServerID
}

const (
	enoughQuota = 1 << 24 // connections of tenants' quota: nothing is refused for want of room
	groupCount  = 5000
)

func newLoadedBalancer(servers, connections int) *loadedBalancer {
	set := decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, RetryAfter: true, MaxRetryAfter: time.Second, Tick: 5 * time.Millisecond, GroupAffinity: true,
		Classes: []decide.ClassInfo{{LatencyObjective: 800 * time.Millisecond, Deadline: 3200 * time.Millisecond, PriorityWeight: 1}},
		Tenants: []decide.TenantInfo{{ServiceShare: 1, ConnectionQuota: enoughQuota}},
		Rules:   decide.Rules{PollWithin: 10 * time.Second, SlowStartCapacity: 0.36, SlowStartWindow: 8600 * time.Millisecond, OverloadFactor: 4, OverloadWindow: 1500 * time.Millisecond}}
	c := &loadedBalancer{balancer: decide.New(set, 7), now: time.Hour, openByServer: make([]int, servers)}
	var list []decide.Endpoint
	for i := range servers {
		list = append(list, decide.Endpoint{Server: decide.ServerID(i), State: decide.Ready, RendezvousKey: (uint64(i) + 1) * 0x9e3779b97f4a7c15})
	}
	c.handle(decide.WatchEvent{Kind: decide.Snapshot, Endpoints: list})
	for i := range connections {
		c.lastID++
		r, at := decide.Request{ID: c.lastID, TimeLeft: time.Hour, Group: 1 + uint64(i%groupCount)}, decide.ServerID(i%servers)
		c.handle(decide.Inherited{Request: r, Server: at})
		c.hold(c.lastID, at)
	}
	return c
}

func (c *loadedBalancer) hold(id decide.RequestID, at decide.ServerID) {
	c.connections = append(c.connections, connection{id, at})
	c.openByServer[at]++
}

func (c *loadedBalancer) loadOf(at decide.ServerID) float64 { return 0.35 + 0.001*float64(at%100) }

// handle gives the module one event, and answers probes and sends at once.
func (c *loadedBalancer) handle(ev decide.Event) {
	c.actions = c.balancer.Handle(c.now, ev, c.actions)
	for len(c.actions) > 0 {
		act := c.actions[0]
		c.actions = c.actions[1:]
		switch a := act.(type) {
		case decide.Probe:
			report := decide.LoadReport{Load: c.loadOf(a.Server), InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}
			c.actions = c.balancer.Handle(c.now, decide.ProbeResult{Server: a.Server, Latency: time.Millisecond, Report: report}, c.actions)
		case decide.Forward:
			c.actions = c.balancer.Handle(c.now, decide.Opened{ID: a.ID, Server: a.Server, SetupLatency: 5 * time.Millisecond}, c.actions)
			c.hold(a.ID, a.Server)
		}
	}
	c.actions = c.actions[:0]
}

// step is one request, and the end of the oldest connection.
func (c *loadedBalancer) step() {
	c.now += time.Millisecond
	first := c.connections[0]
	c.connections = c.connections[1:]
	c.openByServer[first.server]--
	c.handle(decide.Outcome{ID: first.id, Server: first.server, Status: decide.OK, Closed: true, Report: decide.NoLoadReport})
	c.lastID++
	c.handle(decide.Request{ID: c.lastID, Key: uint64(c.lastID), TimeLeft: 2 * time.Second, Group: 1 + uint64(c.lastID)%groupCount})
}

// What a decision costs by the number of servers and of held connections, and the module's bytes for either.
func TestCostOfDecisions(t *testing.T) {
	sizes, steps := [][2]int{{10, 500}, {100, 500}, {100, 2000}}, 300
	if longRun() {
		sizes = [][2]int{{10, 10_000}, {90, 10_000}, {330, 10_000}, {1000, 10_000}, {5000, 10_000}, {330, 1000}, {330, 20_000}, {330, 52_000}, {330, 75_000}}
		steps = 5000
	}
	const bound = 64 << 10 // bytes of the module's heap a server or a connection; a list kept for each would show
	for _, size := range sizes {
		before := collectedHeap()
		c := newLoadedBalancer(size[0], size[1])
		heap := collectedHeap() - before
		for range steps / 5 {
			c.step()
		}
		began := time.Now()
		for range steps {
			c.step()
		}
		each := time.Since(began) / time.Duration(steps)
		t.Logf("%5d servers, %6d connections: %v a request with its end, heap %.0f bytes", size[0], size[1], each, heap)
		if len(c.connections) < size[1]-steps/5 {
			t.Errorf("%d connections of %d are left: requests were not served", len(c.connections), size[1])
		}
		if heap > bound*float64(size[0]+size[1]) {
			t.Errorf("%.0f bytes of heap", heap)
		}
		runtime.KeepAlive(c)
	}
}
