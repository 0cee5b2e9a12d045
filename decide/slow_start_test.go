package decide

import (
	"testing"
	"time"
)

// Rule 4: however long relays have been idle and however they surge, all of them together stay within a
// fraction of the budget. Guards against relays that each save up a token and spend it at the same time.
func TestFleetStaysWithinSlowStartBudget(t *testing.T) {
	for name, found := range map[string]Status{
		"listed with its start time":      OK,
		"refused connections before":      ConnectFailed,
		"silent before, now without load": TimedOut, // the list shows its restart seconds later
	} {
		set, sent := settings(), 0
		set.Relays = 200
		for relay := range 200 {
			set.RelayIndex = relay
			r := newRelay(t, set, uint64(relay), 5)
			loads := map[ServerID]float64{0: 0.5, 1: 0.55, 2: 0.55, 3: 0.55, 4: 0.55}
			r.place(newRequest(1), loads) // a connection adds 1/40 of a server's capacity
			r.advance(5 * time.Second)
			if found == OK {
				r.handle(WatchEvent{
					Kind:      Delta,
					Endpoints: []Endpoint{{Server: 0, State: Ready, StartedAt: time.Minute + 5*time.Second}},
				})
			} else {
				r.handle(ProbeResult{Server: 0, Status: found, Report: NoLoadReport})
				r.handle(ProbeResult{Server: 0, Report: loadReport(0, 0)})
			}
			r.advance(2 * time.Second)
			loads[0] = 0 // it looks idle to every relay
			if r.place(newRequest(2), loads) == 0 {
				sent++
			}
		}
		// 20 connections fill the server, their mean life counts as 8 s, and the server is at 0.44 of its
		// capacity: 3.3 connections within the overload window of one second overload it.
		if sent == 0 || sent > 5 {
			t.Errorf("%s: 200 relays sent %d connections at once to a server in slow start, want 1 to 5",
				name, sent)
		}
	}
}

// A relay that has just started and finds only servers in slow start must not learn the load of a connection
// from the few that these servers hold in their first moments.
func TestNewRelaySparesServersInSlowStart(t *testing.T) {
	sent := 0
	for me := range 10 {
		set := settings()
		set.RelayIndex = me
		r := newRelay(t, set, uint64(me), 0)
		var list []Endpoint
		for i := range ServerID(6) {
			list = append(list, Endpoint{Server: i, State: Ready, StartedAt: r.now - time.Second})
		}
		r.handle(WatchEvent{Kind: Snapshot, Endpoints: list})
		for id := RequestID(1); id <= 6; id++ {
			acts := r.advance(50 * ms).handle(newRequest(id))
			for i := 0; i < len(acts); i++ {
				if p, ok := acts[i].(Probe); ok {
					acts = append(acts, r.handle(ProbeResult{Server: p.Server, Latency: 2 * ms,
						Report: loadReport(0.003, 3)})...)
				}
			}
			sent += len(actionsOf[Forward](acts))
		}
	}
	if sent > 12 { // about one connection per server within the overload window overloads it
		t.Errorf("ten new relays sent %d connections in 0.3 s to six servers in slow start, want at most 12",
			sent)
	}
}

// Without load reports and quotas, a server in slow start gets more than a constant few connections, and
// fewer than fill it.
func TestSlowStartWithoutLoadReports(t *testing.T) {
	set := settings()
	set.Tenants, set.Relays, set.Rules.OverloadWindow = nil, 1, 3*time.Second
	r := newRelay(t, set, 5, 4)
	sent := 0
	for id := RequestID(1); id <= 600; id++ {
		if id == 400 { // the four servers hold 400 connections now
			r.handle(WatchEvent{
				Kind:      Delta,
				Endpoints: []Endpoint{{Server: 4, State: Ready, RendezvousKey: 99, StartedAt: r.now}},
			})
		}
		acts := r.advance(20 * ms).handle(Request{ID: id, Tenant: NoTenant, TimeLeft: 2 * time.Second})
		for i := 0; i < len(acts); i++ {
			if p, ok := acts[i].(Probe); ok {
				acts = append(acts, r.handle(ProbeResult{
					Server: p.Server, Latency: 4 * ms, Report: NoLoadReport,
				})...)
			}
		}
		for _, s := range actionsOf[Forward](acts) {
			r.handle(Opened{ID: id, Server: s.Server, SetupLatency: 10 * ms})
			if s.Server == 4 {
				sent++
			}
		}
	}
	if sent < 8 || sent > 60 { // a constant number of connections allowed 3 in 4 s
		t.Errorf(
			"%d connections in 4 s to a server that has just started, want 8 to 60: the others hold 100 each",
			sent)
	}
}

// The connections of a group that has lost its server all go to one server in slow start, and rejected
// clients return. A relay for which that server is a candidate again and again must count this demand, and
// not how often the server would be one by the mean rate of requests: by that rate it let every request
// through.
func TestSlowStartBudgetCountsDemand(t *testing.T) {
	allowed := 0
	for me := range 20 {
		set := settings()
		set.Relays, set.RelayIndex, set.GroupAffinity = 20, me, true
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, 1, 24)
		r.handle(WatchEvent{
			Kind:      Delta,
			Endpoints: []Endpoint{{Server: 24, State: Ready, RendezvousKey: 99, StartedAt: r.now}},
		})
		for range 60 {
			r.advance(5 * ms)
			r.b.now = r.now
			if r.b.dispatch.placement.budget.drawSlowStartBudget(r.b.endpoints.stateOf(24)) {
				allowed++
			}
		}
	}
	if allowed == 0 || allowed > 60 {
		t.Errorf("20 relays allowed %d of 1200 attempts in 0.3 s, want 1 to 60", allowed)
	}
}

// The budget of a server in slow start is spread over how often the server is a candidate: with groups, the
// candidates are four of all servers, not four of one zone. Guards against counting one zone only: with three
// zones, a third of the budget was used and new servers stayed empty.
func TestSlowStartBudgetReckonsWithAllZones(t *testing.T) {
	draws := func(groups bool) (n int) {
		set := settings()
		set.GroupAffinity, set.Zones, set.Relays = groups, 3, 20
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, 1, 0)
		var list []Endpoint
		for i := range ServerID(24) {
			list = append(list, Endpoint{
				Server:        i,
				State:         Ready,
				Zone:          Zone(i % 3),
				RendezvousKey: uint64(i+1) * 7919,
			})
		}
		list[0].StartedAt = r.now
		r.handle(WatchEvent{Kind: Snapshot, Endpoints: list})
		for range 2000 {
			if r.b.dispatch.placement.budget.drawSlowStartBudget(r.b.endpoints.stateOf(0)) {
				n++
			}
		}
		return n
	}
	if with, without := draws(true), draws(false); with < without*5/2 || with > without*7/2 || with == 2000 {
		t.Errorf(
			"%d of 2000 draws allowed with groups and %d without, want about three times as many",
			with, without)
	}
}

func TestCapacityRisesOverTheSlowStartWindow(t *testing.T) {
	rules := settings().Rules
	for _, c := range []struct {
		startedAt, now time.Duration
		want           float64
	}{
		{-1, time.Minute, 1},
		{time.Minute, time.Minute, 0.25},
		{time.Minute, time.Minute + 4*time.Second, 0.625},
		{time.Minute, time.Minute + 8*time.Second, 1},
	} {
		s := slowStart{startedAt: c.startedAt}
		if got := s.capacityFraction(c.now, &rules); got != c.want {
			t.Errorf("capacity %v after the start: %.3f, want %.3f", c.now-c.startedAt, got, c.want)
		}
	}
}

func TestSlowStartCountsWithinTheWindow(t *testing.T) {
	s := slowStart{startedAt: -1}
	for i := range 5 {
		at := time.Duration(i) * 400 * ms
		s.recordAttempt(at, time.Second)
		if earlier := s.recordDemand(at, time.Second); earlier != float64(min(i, 2)) {
			t.Errorf("earlier demand within the window at %v: %v, want at most 2", at, earlier)
		}
	}
	if n := s.recentAttemptCount(2*time.Second, time.Second); n != 2 { // those at 1.2 s and 1.6 s
		t.Errorf("%v attempts within the last second, want 2", n)
	}
}
