package decide

import (
	"testing"
	"time"
)

// Rule 4: whatever they have saved up and however they surge, all relays together keep to a part of the
// budget. Before, each relay saved a token and all spent theirs at once.
func TestFleetStaysWithinSlowStartBudget(t *testing.T) {
	for name, found := range map[string]Status{
		"listed with its start":            OK,
		"found dead before":                ConnectFailed,
		"silent before, now holds nothing": TimedOut, // the list tells of its restart seconds later
	} {
		set, sent := settings(), 0
		set.Relays = 200
		for relay := range 200 {
			set.RelayIndex = relay
			r := newRelay(t, set, uint64(relay), 5)
			loads := map[ServerID]float64{0: 0.5, 1: 0.55, 2: 0.55, 3: 0.55, 4: 0.55}
			r.place(newRequest(1), loads) // 1/40 of a server a connection
			r.advance(5 * time.Second)
			if found == OK {
				r.do(WatchEvent{
					Kind:      Delta,
					Endpoints: []Endpoint{{Server: 0, State: Ready, StartedAt: time.Minute + 5*time.Second}},
				})
			} else {
				r.do(ProbeResult{Server: 0, Status: found, Report: NoLoadReport})
				r.do(ProbeResult{Server: 0, Report: loadReport(0, 0)})
			}
			r.advance(2 * time.Second)
			loads[0] = 0 // it looks idle to everybody
			if r.place(newRequest(2), loads) == 0 {
				sent++
			}
		}
		// 20 connections fill it, it turns them over in 8 s at the most and stands at 0.44 of that: 3.3 in
		// the second that breaks the rule.
		if sent == 0 || sent > 5 {
			t.Errorf("%s: 200 relays sent a server in slow start %d connections in one moment", name, sent)
		}
	}
}

// A relay that has just started and finds only servers in slow start must not take what their few connections
// weigh in the first moments for what a connection costs.
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
		r.do(WatchEvent{Kind: Snapshot, Endpoints: list})
		for id := RequestID(1); id <= 6; id++ {
			acts := r.advance(50 * ms).do(newRequest(id))
			for i := 0; i < len(acts); i++ {
				if p, ok := acts[i].(Probe); ok {
					acts = append(acts, r.do(ProbeResult{Server: p.Server, Latency: 2 * ms,
						Report: loadReport(0.003, 3)})...)
				}
			}
			sent += len(actionsOf[Forward](acts))
		}
	}
	if sent > 12 { // about one connection a server in the second that breaks the rule
		t.Errorf("ten new relays sent six servers in slow start %d connections in 0.3 s", sent)
	}
}

// A fresh server of such a site warms up with more than a trickle, and with less than what fills it.
func TestSlowStartWithoutLoadReports(t *testing.T) {
	set := settings()
	set.Tenants, set.Relays, set.Rules.OverloadWindow = nil, 1, 3*time.Second
	r := newRelay(t, set, 5, 4)
	sent := 0
	for id := RequestID(1); id <= 600; id++ {
		if id == 400 { // the four hold 400 now
			r.do(WatchEvent{
				Kind:      Delta,
				Endpoints: []Endpoint{{Server: 4, State: Ready, RendezvousKey: 99, StartedAt: r.now}},
			})
		}
		acts := r.advance(20 * ms).do(Request{ID: id, Tenant: NoTenant, TimeLeft: 2 * time.Second})
		for i := 0; i < len(acts); i++ {
			if p, ok := acts[i].(Probe); ok {
				acts = append(acts, r.do(ProbeResult{
					Server: p.Server, Latency: 4 * ms, Report: NoLoadReport,
				})...)
			}
		}
		for _, s := range actionsOf[Forward](acts) {
			r.do(Opened{ID: id, Server: s.Server, SetupLatency: 10 * ms})
			if s.Server == 4 {
				sent++
			}
		}
	}
	if sent < 8 || sent > 60 { // in 4 s; the constant allowed 3
		t.Errorf("%d connections in 4 s to a server that has just started, where the others hold 100 each",
			sent)
	}
}

// A group that has lost its server comes to one server in slow start at once, and who is rejected comes
// again: a relay of many that is asked for that server time and again must not go by how often its mean
// request comes there. By that it let every one through.
func TestSlowStartBudgetCountsDemand(t *testing.T) {
	through := 0
	for me := range 20 {
		set := settings()
		set.Relays, set.RelayIndex, set.GroupAffinity = 20, me, true
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, 1, 24)
		r.do(WatchEvent{
			Kind:      Delta,
			Endpoints: []Endpoint{{Server: 24, State: Ready, RendezvousKey: 99, StartedAt: r.now}},
		})
		for range 60 {
			r.advance(5 * ms)
			r.b.now = r.now
			if r.b.dispatch.placement.budget.drawSlowStartBudget(r.b.endpoints.stateOf(24)) {
				through++
			}
		}
	}
	if through == 0 || through > 60 {
		t.Errorf("20 relays let %d of 1200 through in 0.3 s", through)
	}
}

// The budget of a server in slow start is spread over how often requests meet it: with groups four of all
// servers are met, not four of a zone's. A third of the budget was used where there are three zones, and
// new servers stayed empty.
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
		r.do(WatchEvent{Kind: Snapshot, Endpoints: list})
		for range 2000 {
			if r.b.dispatch.placement.budget.drawSlowStartBudget(r.b.endpoints.stateOf(0)) {
				n++
			}
		}
		return n
	}
	if with, without := draws(true), draws(false); with < without*5/2 || with > without*7/2 || with == 2000 {
		t.Errorf("%d draws of 2000 with groups, %d without", with, without)
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
			t.Errorf("%v after its start: %.3f, want %.3f", c.now-c.startedAt, got, c.want)
		}
	}
}

func TestSlowStartCountsWithinTheWindow(t *testing.T) {
	s := slowStart{startedAt: -1}
	for i := range 5 {
		at := time.Duration(i) * 400 * ms
		s.recordAttempt(at, time.Second)
		if others := s.recordDemand(at, time.Second); others != float64(min(i, 2)) {
			t.Errorf("at %v it was asked for %v times more", at, others)
		}
	}
	if n := s.recentAttemptCount(2*time.Second, time.Second); n != 2 { // those at 1.2 s and 1.6 s
		t.Errorf("%v attempts of the last second, want 2", n)
	}
}
