package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// busyRelay is a relay under load: 1,000 requests per second, each held open for 10 s, on servers that answer
// probes at once with a load that follows the connections they hold. step handles one request and all events
// that follow from it.
type busyRelay struct {
	b            *Balancer
	now          time.Duration
	lastID       RequestID
	groups       bool
	timers       []dueTimer // in the order in which they expire
	openRequests []RequestID
	openServers  []ServerID
	baseLoads    []float64
	actions      []Action
}

type dueTimer struct {
	at    time.Duration
	token uint64
}

func newBusyRelay(servers int, groups bool) *busyRelay {
	set := settings()
	set.Relays, set.GroupAffinity, set.Tick, set.ReportsMessageDelay = 1, groups, 5*ms, false
	// 10,000 connections use a fifth of all capacity
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 20_000, 20_000
	y := &busyRelay{b: New(set, 1), now: time.Hour, groups: groups, baseLoads: make([]float64, servers)}
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{
			Server: ServerID(i), State: Ready, RendezvousKey: (uint64(i) + 1) * 0x9e3779b97f4a7c15,
		})
		y.baseLoads[i] = 0.35 + 0.001*float64(i%100)
	}
	y.handle(WatchEvent{Kind: Snapshot, Endpoints: list})
	for i := range 10_000 { // inherited connections, spread over all servers
		y.lastID++
		r, at := Request{ID: y.lastID, Tenant: Tenant(i % 2), TimeLeft: time.Hour}, ServerID(i%servers)
		if groups {
			r.Group = 1 + uint64(i)%500
		}
		y.handle(Inherited{Request: r, Server: at})
		y.openRequests, y.openServers = append(y.openRequests, y.lastID), append(y.openServers, at)
	}
	return y
}

func (y *busyRelay) handle(ev Event) {
	y.actions = y.b.Handle(y.now, ev, y.actions)
	for len(y.actions) > 0 {
		a := y.actions[0]
		y.actions = y.actions[1:]
		switch a := a.(type) {
		case Probe:
			held := len(y.b.endpoints.servers[a.Server].connections)
			load := y.baseLoads[a.Server] + 0.2*float64(len(y.baseLoads)*held)/10_000
			y.actions = y.b.Handle(y.now, ProbeResult{
				Server:  a.Server,
				Latency: ms,
				Report:  loadReport(load, -1),
			}, y.actions)
		case Forward:
			y.actions = y.b.Handle(y.now, Opened{ID: a.ID, Server: a.Server, SetupLatency: 5 * ms}, y.actions)
			y.openRequests, y.openServers = append(y.openRequests, a.ID), append(y.openServers, a.Server)
		case Timer:
			if kind, _ := splitToken(a.Token); kind == timerLoadCheck { // other timers are not needed here
				y.timers = append(y.timers, dueTimer{y.now + a.After, a.Token})
			}
		}
	}
	y.actions = y.actions[:0]
}

func (y *busyRelay) step() {
	y.now += ms
	for len(y.timers) > 0 && y.timers[0].at <= y.now {
		token := y.timers[0].token
		y.timers = y.timers[1:]
		y.handle(TimerFired{Token: token})
	}
	if len(y.openRequests) >= 10_000 {
		y.handle(Outcome{ID: y.openRequests[0], Server: y.openServers[0], Status: OK, Closed: true,
			Report: NoLoadReport})
		y.openRequests, y.openServers = y.openRequests[1:], y.openServers[1:]
	}
	y.lastID++
	r := Request{ID: y.lastID, Tenant: Tenant(y.lastID % 2), Key: uint64(y.lastID), TimeLeft: 2 * time.Second}
	if y.groups {
		r.Group = 1 + uint64(y.lastID)%500
	}
	y.handle(r)
}

// BenchmarkRequest measures the cost of one request, with all events that follow from it, by the number of
// servers: the cost must not grow with the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, groups := range []bool{false, true} {
		for _, servers := range []int{10, 90, 1000, 5000} {
			b.Run(fmt.Sprintf("groups=%v/servers=%d", groups, servers), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				y := newBusyRelay(servers, groups)
				for range 3_000 {
					y.step()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ResetTimer()
				for range b.N {
					y.step()
				}
				b.ReportMetric(float64(len(y.b.pool.pool)), "pool")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			})
		}
	}
}
