package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// busy is a relay under load: 1,000 requests a second, each held for 10 s, on so many servers, all of which
// answer probes at once with a load that follows what is held there. step is one request and all that comes
// of it.
type busy struct {
	b       *Balancer
	now     time.Duration
	id      RequestID
	groups  bool
	alarms  []due // in the order in which they are due
	ends    []RequestID
	at      []ServerID
	load    []float64
	backlog []Action
}

type due struct {
	at    time.Duration
	token uint64
}

func newBusy(servers int, groups bool) *busy {
	set := settings()
	set.Relays, set.GroupAffinity, set.Tick, set.ReportsMessageDelay = 1, groups, 5*ms, false
	// 10,000 connections are a fifth of all capacity
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 20_000, 20_000
	y := &busy{b: New(set, 1), now: time.Hour, groups: groups, load: make([]float64, servers)}
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{
			Server: ServerID(i), State: Ready, RendezvousKey: (uint64(i) + 1) * 0x9e3779b97f4a7c15,
		})
		y.load[i] = 0.35 + 0.001*float64(i%100)
	}
	y.in(WatchEvent{Kind: Snapshot, Endpoints: list})
	for i := range 10_000 { // open before this relay started, spread over all servers
		y.id++
		r, at := Request{ID: y.id, Tenant: Tenant(i % 2), TimeLeft: time.Hour}, ServerID(i%servers)
		if groups {
			r.Group = 1 + uint64(i)%500
		}
		y.in(Inherited{Request: r, Server: at})
		y.ends, y.at = append(y.ends, y.id), append(y.at, at)
	}
	return y
}

func (y *busy) in(ev Event) {
	y.backlog = y.b.Handle(y.now, ev, y.backlog)
	for len(y.backlog) > 0 {
		a := y.backlog[0]
		y.backlog = y.backlog[1:]
		switch a := a.(type) {
		case Probe:
			held := len(y.b.endpoints.servers[a.Server].connections)
			load := y.load[a.Server] + 0.2*float64(len(y.load)*held)/10_000
			y.backlog = y.b.Handle(y.now, ProbeResult{
				Server:  a.Server,
				Latency: ms,
				Report:  loadReport(load, -1),
			}, y.backlog)
		case Forward:
			y.backlog = y.b.Handle(y.now, Opened{ID: a.ID, Server: a.Server, SetupLatency: 5 * ms}, y.backlog)
			y.ends, y.at = append(y.ends, a.ID), append(y.at, a.Server)
		case Timer:
			if kind, _ := splitToken(a.Token); kind == timerLoadCheck { // the only one that matters here
				y.alarms = append(y.alarms, due{y.now + a.After, a.Token})
			}
		}
	}
	y.backlog = y.backlog[:0]
}

func (y *busy) step() {
	y.now += ms
	for len(y.alarms) > 0 && y.alarms[0].at <= y.now {
		token := y.alarms[0].token
		y.alarms = y.alarms[1:]
		y.in(TimerFired{Token: token})
	}
	if len(y.ends) >= 10_000 {
		y.in(Outcome{ID: y.ends[0], Server: y.at[0], Status: OK, Closed: true, Report: NoLoadReport})
		y.ends, y.at = y.ends[1:], y.at[1:]
	}
	y.id++
	r := Request{ID: y.id, Tenant: Tenant(y.id % 2), Key: uint64(y.id), TimeLeft: 2 * time.Second}
	if y.groups {
		r.Group = 1 + uint64(y.id)%500
	}
	y.in(r)
}

// What one request costs the module, with all that comes of it, by the number of servers: it must not grow
// with the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, groups := range []bool{false, true} {
		for _, servers := range []int{10, 90, 1000, 5000} {
			b.Run(fmt.Sprintf("groups=%v/servers=%d", groups, servers), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				y := newBusy(servers, groups)
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
