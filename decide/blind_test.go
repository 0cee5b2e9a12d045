package decide

import (
	"testing"
	"time"
)

// Where no report tells a load and no tenant has a quota, every backend was reckoned at 0: a relay sent all of a group to the first
// of its circle, whatever it held there and however long that took to answer, and a cold one got what a constant allowed.
func TestBlindSiteSpreads(t *testing.T) {
	place := func(took func(ServerID) time.Duration) map[ServerID]int {
		set := settings()
		set.Tenants, set.GroupAffinity, set.Relays = nil, true, 1
		r := newRelay(t, set, 3, 8)
		on := map[ServerID]int{}
		for id := RequestID(1); id <= 200; id++ {
			acts := r.pass(300 * ms).do(Request{ID: id, Tenant: NoTenant, TimeLeft: 2 * time.Second, Group: 1 + uint64(id)%2*(uint64(id)%12)})
			for i := 0; i < len(acts); i++ {
				if p, ok := acts[i].(Probe); ok {
					acts = append(acts, r.do(ProbeResult{Server: p.Server, Latency: took(p.Server), Report: NoLoadReport})...)
				}
			}
			for _, s := range all[Forward](acts) {
				on[s.Server]++
				r.do(Opened{ID: id, Server: s.Server, SetupLatency: 10 * ms})
			}
		}
		return on
	}
	even := place(func(ServerID) time.Duration { return 4 * ms })
	most, used := 0, 0
	for _, n := range even {
		most, used = max(most, n), used+1
	}
	if most > 70 || used < 5 { // half of them are one group's, which the first of its circle got all
		t.Errorf("200 connections of seven groups over eight backends: %v", even)
	}
	late := place(func(id ServerID) time.Duration {
		if id == 2 {
			return 120 * ms
		}
		return 4 * ms
	})
	if late[2] > even[2]/2 {
		t.Errorf("one that takes 120 ms to answer a probe got %d, and %d when it took 4: %v", late[2], even[2], late)
	}
}

// A fresh backend of such a site warms up with more than a trickle, and with less than what fills it.
func TestBlindSiteWarmsUp(t *testing.T) {
	set := settings()
	set.Tenants, set.Relays, set.Rules.OverloadWindow = nil, 1, 3*time.Second
	r := newRelay(t, set, 5, 4)
	sent := 0
	for id := RequestID(1); id <= 600; id++ {
		if id == 400 { // the four hold 400 now
			r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 4, State: Ready, RendezvousKey: 99, StartedAt: r.now}}})
		}
		acts := r.pass(20 * ms).do(Request{ID: id, Tenant: NoTenant, TimeLeft: 2 * time.Second})
		for i := 0; i < len(acts); i++ {
			if p, ok := acts[i].(Probe); ok {
				acts = append(acts, r.do(ProbeResult{Server: p.Server, Latency: 4 * ms, Report: NoLoadReport})...)
			}
		}
		for _, s := range all[Forward](acts) {
			r.do(Opened{ID: id, Server: s.Server, SetupLatency: 10 * ms})
			if s.Server == 4 {
				sent++
			}
		}
	}
	if sent < 8 || sent > 60 { // in 4 s; the constant allowed 3
		t.Errorf("%d connections in 4 s to a server that has just started, where the others hold 100 each", sent)
	}
}

// A backend that answers probes with an error drains, though the list may tell so only seconds later: nothing goes there, not
// even where nobody else is left. One that answers nothing may be slow, and is the last resort.
func TestNothingGoesToOneThatSaysNo(t *testing.T) {
	for status, want := range map[Status]int{Errored: 0, TimedOut: 20} {
		r := newRelay(t, settings(), 3, 2)
		sent := 0
		for id := RequestID(1); id <= 21; id++ {
			acts := r.pass(1500 * ms).do(ask(id))
			for i := 0; i < len(acts); i++ {
				switch a := acts[i].(type) {
				case Probe:
					acts = append(acts, r.do(ProbeResult{Server: a.Server, Status: status, Latency: 9 * ms, Report: NoLoadReport})...)
				case Timer:
					acts = append(acts, r.pass(a.After).do(TimerFired{Token: a.Token})...)
				case Forward:
					sent++
					r.do(Outcome{ID: a.ID, Server: a.Server, Status: AtCapacity, Closed: true, Report: NoLoadReport})
				}
				if i > 200 {
					break
				}
			}
		}
		if sent < want || want == 0 && sent > 0 {
			t.Errorf("%v to each probe: %d sends", status, sent)
		}
	}
}

// A group that has lost its backend comes to one cold backend at once, and who is refused comes again: a relay of many that is asked for
// that backend time and again must not go by how often its mean request comes there. By that it let every one through.
func TestColdBudgetCountsWhatAsksForIt(t *testing.T) {
	through := 0
	for me := range 20 {
		set := settings()
		set.Relays, set.RelayIndex, set.GroupAffinity = 20, me, true
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, 1, 24)
		r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 24, State: Ready, RendezvousKey: 99, StartedAt: r.now}}})
		for range 60 {
			r.pass(5 * ms)
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
