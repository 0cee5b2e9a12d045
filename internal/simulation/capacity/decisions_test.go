package capacity

import (
	"runtime"
	"testing"
	"time"

	"capersail/decide"
)

// loadedBalancer is a decision module with open connections. Each step opens a request and ends the oldest
// connection.
type loadedBalancer struct {
	balancer     *decide.Balancer
	now          time.Duration
	openByServer []int
	connections  []connection // sorted by age, the oldest first
	lastID       decide.RequestID
	actions      []decide.Action
}

type connection struct {
	id     decide.RequestID
	server decide.ServerID
}

const (
	unlimitedQuota = 1 << 24 // connections of a tenant, high enough that the quota rejects no request
	groupCount     = 5000
)

func newLoadedBalancer(servers, connections int) *loadedBalancer {
	settings := decide.Settings{
		Relays:        1,
		Zones:         1,
		MaxAttempts:   2,
		Probes:        true,
		RetryAfter:    true,
		MaxRetryAfter: time.Second,
		Tick:          5 * time.Millisecond,
		GroupAffinity: true,
		Classes: []decide.ClassInfo{{
			LatencyObjective: 800 * time.Millisecond,
			Deadline:         3200 * time.Millisecond,
			PriorityWeight:   1,
		}},
		Tenants: []decide.TenantInfo{{ServiceShare: 1, ConnectionQuota: unlimitedQuota}},
		Rules: decide.Rules{
			PollDeadline:      10 * time.Second,
			SlowStartCapacity: 0.36,
			SlowStartWindow:   8600 * time.Millisecond,
			OverloadFactor:    4,
			OverloadWindow:    1500 * time.Millisecond,
		},
	}
	b := &loadedBalancer{
		balancer:     decide.New(settings, 7),
		now:          time.Hour,
		openByServer: make([]int, servers),
	}
	var endpoints []decide.Endpoint
	for i := range servers {
		endpoints = append(endpoints, decide.Endpoint{
			Server:        decide.ServerID(i),
			State:         decide.Ready,
			RendezvousKey: (uint64(i) + 1) * 0x9e3779b97f4a7c15,
		})
	}
	b.handle(decide.WatchEvent{Kind: decide.Snapshot, Endpoints: endpoints})
	for i := range connections {
		b.lastID++
		request := decide.Request{ID: b.lastID, TimeLeft: time.Hour, Group: 1 + uint64(i%groupCount)}
		server := decide.ServerID(i % servers)
		b.handle(decide.Inherited{Request: request, Server: server})
		b.recordOpen(b.lastID, server)
	}
	return b
}

// recordOpen records an open connection.
func (b *loadedBalancer) recordOpen(id decide.RequestID, server decide.ServerID) {
	b.connections = append(b.connections, connection{id, server})
	b.openByServer[server]++
}

// loadReport returns a server's answer to a probe.
func loadReport(server decide.ServerID) decide.LoadReport {
	load := 0.35 + 0.001*float64(server%100)
	return decide.LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}
}

// handle passes an event to the decision module, and answers the resulting probes and attempts at once.
func (b *loadedBalancer) handle(event decide.Event) {
	b.actions = b.balancer.Handle(b.now, event, b.actions)
	for len(b.actions) > 0 {
		action := b.actions[0]
		b.actions = b.actions[1:]
		switch a := action.(type) {
		case decide.Probe:
			result := decide.ProbeResult{Server: a.Server, Latency: time.Millisecond,
				Report: loadReport(a.Server)}
			b.actions = b.balancer.Handle(b.now, result, b.actions)
		case decide.Forward:
			opened := decide.Opened{ID: a.ID, Server: a.Server, SetupLatency: 5 * time.Millisecond}
			b.actions = b.balancer.Handle(b.now, opened, b.actions)
			b.recordOpen(a.ID, a.Server)
		}
	}
	b.actions = b.actions[:0]
}

// step ends the oldest connection and opens one request.
func (b *loadedBalancer) step() {
	b.now += time.Millisecond
	oldest := b.connections[0]
	b.connections = b.connections[1:]
	b.openByServer[oldest.server]--
	b.handle(decide.Outcome{
		ID:     oldest.id,
		Server: oldest.server,
		Status: decide.OK,
		Closed: true,
		Report: decide.NoLoadReport,
	})
	b.lastID++
	b.handle(decide.Request{
		ID:       b.lastID,
		Key:      uint64(b.lastID),
		TimeLeft: 2 * time.Second,
		Group:    1 + uint64(b.lastID)%groupCount,
	})
}

// Measures the time of a decision and the heap of the decision module by the number of servers and of open
// connections, and checks the heap against its limit.
func TestCostOfDecisions(t *testing.T) {
	type size struct{ servers, connections int }
	sizes, steps := []size{{10, 500}, {100, 500}, {100, 2000}}, 300
	if isLongRun() {
		sizes = []size{
			{10, 10_000}, {90, 10_000}, {330, 10_000}, {1000, 10_000}, {5000, 10_000},
			{330, 1000}, {330, 20_000}, {330, 52_000}, {330, 75_000},
		}
		steps = 5000
	}
	const maxBytes = 64 << 10 // limit for a server or a connection; low enough to show a list for each
	for _, size := range sizes {
		before := collectedHeap()
		b := newLoadedBalancer(size.servers, size.connections)
		heap := collectedHeap() - before
		for range steps / 5 {
			b.step()
		}
		startedAt := time.Now()
		for range steps {
			b.step()
		}
		each := time.Since(startedAt) / time.Duration(steps)
		t.Logf("%5d servers, %6d connections: %v a request with its end, heap %.0f bytes",
			size.servers, size.connections, each, heap)
		if len(b.connections) < size.connections-steps/5 {
			t.Errorf("%d of %d connections are open: some requests were not served",
				len(b.connections), size.connections)
		}
		if heap > maxBytes*float64(size.servers+size.connections) {
			t.Errorf("%.0f bytes of heap, want 64 KiB at most for each server and connection", heap)
		}
		runtime.KeepAlive(b)
	}
}
