package decide

import (
	"slices"
	"testing"
	"time"
)

// Requests that reach many relays between two reports must not all meet on the server that read least.
func TestVastRelaysDoNotAllPickTheLeastLoaded(t *testing.T) {
	loads, on := map[ServerID]float64{0: 0.2, 1: 0.25, 2: 0.25, 3: 0.25}, map[ServerID]int{}
	for relay := range 80 {
		set := settings()
		set.Relays, set.RelayIndex, set.Prices.CrossZone = 80, relay, 1
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, uint64(relay), 4)
		r.pass(4 * time.Second) // the last request came 4 s ago
		on[r.place(ask(1), loads)]++
	}
	if on[0] > 80*6/10 {
		t.Errorf("%d of 80 on the least loaded of four: %v", on[0], on)
	}
}

// Relays that have just started and hold nothing have never seen what a connection adds, and took it for nothing:
// where there was room for 19 more, each of 80 sent its first. What each takes the others to send in the time of a
// report, 37, leaves it a chance of one half.
func TestVastRelaysThatHoldNothingLeaveRoom(t *testing.T) {
	sent := 0
	for relay := range 80 {
		set := settings()
		set.Relays, set.RelayIndex = 80, relay
		set.Tenants[0].ConnectionQuota = 100 // that is 0.032 of a backend for each
		r := newRelay(t, set, uint64(relay), 4)
		for gone := range ServerID(20) { // what was listed once has no room either
			r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 4 + gone, State: Removed}}})
		}
		acts := r.do(ask(1))
		for _, p := range all[Probe](acts) {
			acts = append(acts, r.do(ProbeResult{Server: p.Server, Latency: 2 * ms, Report: LoadReport{Load: 0.6, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}})...)
		}
		sent += len(all[Forward](acts))
	}
	if sent < 20 || sent > 55 {
		t.Errorf("80 relays sent %d of their first 80 requests on, to room for 19", sent)
	}
}

// A group whose circle is full goes on to the next four of its order before it is refused: on the days of 300 relays half of
// all servers stood under half of their load while 300 requests a second were refused for want of room.
func TestFullCircleGoesOn(t *testing.T) {
	set := settings()
	set.GroupAffinity, set.Zones = true, 1
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 100, 100
	for _, room := range []bool{true, false} {
		on := map[ServerID]bool{}
		for seed := range uint64(20) {
			r := newRelay(t, set, seed, 12)
			order, loads := r.b.dispatch.affinity.rankServers(5, groupOrderLen, false), map[ServerID]float64{}
			for i, id := range order {
				loads[id] = 0.95
				if i >= probesPerPlacement && (room || i >= 2*probesPerPlacement) {
					loads[id] = 0.3
				}
			}
			req := ask(1)
			req.Group = 5
			got := r.place(req, loads)
			if got >= 0 {
				on[got] = true
			}
			if i := slices.Index(order, got); room != (i >= probesPerPlacement && i < 2*probesPerPlacement) {
				t.Errorf("room in the next four %v: placed at %d of the order", room, i)
			}
		}
		if room && len(on) > 1 { // and all relays take the same one first
			t.Errorf("spread over %v", on)
		}
	}
}

// A cold backend's budget is spread over how often requests meet it: with groups four of all backends are met, not four of a
// zone's. A third of the budget was used where there are three zones, and new backends stayed empty.
func TestColdBudgetReckonsWithAllZones(t *testing.T) {
	draws := func(groups bool) (n int) {
		set := settings()
		set.GroupAffinity, set.Zones, set.Relays = groups, 3, 20
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, 1, 0)
		var list []Endpoint
		for i := range ServerID(24) {
			list = append(list, Endpoint{Server: i, State: Ready, Zone: Zone(i % 3), RendezvousKey: uint64(i+1) * 7919})
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

// What other relays tell is evidence with an age: it counts while it is young, gives way to what is newer, and says nothing
// of a backend that failed this relay.
func TestToldReadings(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	r.do(FleetStatus{Relays: 9, BudgetShare: 1.0 / 9, SharesReadings: true})
	told := func(id ServerID, age time.Duration, load float64) {
		r.do(GossipReading{Server: id, Age: age, Report: LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}})
	}
	told(0, 300*ms, 0.4)
	told(0, 600*ms, 0.9) // older than what is held
	if s := r.b.endpoints.stateOf(0); s.reading.load != 0.4 || s.reading.at != r.now-300*ms {
		t.Errorf("holds %.1f of %v", s.reading.load, r.now-s.reading.at)
	}
	for i := range ServerID(3) {
		told(i+1, 200*ms, 0.4)
	}
	if acts := r.do(ask(1)); len(all[Probe](acts)) != 0 || len(all[Forward](acts)) != 1 {
		t.Errorf("with all readings at hand: %v", acts)
	}
	r.do(Outcome{ID: 1, Attempt: 1, Server: r.b.requests.requests[1].server, Status: ConnectFailed, Report: NoLoadReport})
	failed := ServerID(slices.IndexFunc(r.b.endpoints.servers, func(s serverState) bool { return s.health.ejected }))
	if told(failed, 0, 0.1); !r.b.endpoints.stateOf(failed).health.ejected || r.b.endpoints.stateOf(failed).reading.at >= 0 {
		t.Error("a word of others brought a failed backend back")
	}
	r.pass(2 * readingFreshFor)
	if acts := r.do(ask(2)); len(all[Probe](acts)) == 0 {
		t.Errorf("readings of over 2 s ago still count: %v", acts)
	}
}
