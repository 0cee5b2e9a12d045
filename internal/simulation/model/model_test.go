package model

import (
	"testing"
	"time"

	"capersail/decide"
)

// newTestFleet returns a Fleet whose violated invariants fail the test.
func newTestFleet(t testing.TB, c Config) *Fleet {
	f := New(c)
	f.Fatal = func(what string) { t.Fatalf("seed %d: %s", c.Seed, what) }
	return f
}

// largeFleet returns a fleet of 80 relays and 12 servers without peering.
func largeFleet(t testing.TB, seed uint64, conns int, part float64) *Fleet {
	return newTestFleet(t, Config{Seed: seed, Relays: 80, Servers: 12, Connections: conns, Utilisation: part,
		GroupWork: true})
}

// Every relay gets the endpoint list within 9 s when all relays start at once, and again when most of them
// restart with a cached list, though discovery needs 6 s or more to serve all their calls. Calls that are
// given up take discovery's time too: relays that all called within 1.25 s, and again after 0.5 s, 1 s and 2
// s, kept each other from the list for 10 s.
func TestRestartedRelaysSpreadDiscoveryCalls(t *testing.T) {
	for seed := range uint64(4) {
		f := largeFleet(t, seed, 60, 0.4)
		f.StartAll()
		all := func(when string) {
			f.Advance(9 * time.Second)
			for i, r := range f.Relays {
				if !r.watching {
					t.Errorf("seed %d: relay %d has no list 9 s after %s; %v", seed, i, when, &f.Tally)
					break
				}
			}
		}
		all("the start")
		for _, r := range f.Relays[:56] {
			f.KillRelay(r)
		}
		f.Advance(500 * ms)
		for _, r := range f.Relays[:56] {
			f.StartRelay(r, f.EndpointList())
		}
		all("its restart")
		if n := f.Tally.Counts["calls failed"]; n > 14 {
			t.Errorf("seed %d: %d of %d calls failed", seed, n, f.Tally.Counts["calls"])
		}
	}
}

// A relay of 80 that gets one request in 20 s must not extrapolate to the 53 requests a second that would
// come if each relay got one in 1.5 s. Relays that did rejected half of the requests while the fleet was at
// half its load.
func TestLargeFleetRejectsFewAtModerateLoad(t *testing.T) {
	requests, rejected := 0, 0
	for seed := range uint64(4) {
		f := largeFleet(t, seed, 100, 0.6)
		f.StartAll()
		f.Advance(20 * time.Second)
		requests += f.Tally.Counts["asks"]
		rejected += f.Tally.Counts["refused: no room"]
	}
	if rejected > requests/6 {
		t.Errorf("%d of %d requests rejected for want of capacity, want a sixth at most", rejected, requests)
	}
}

// A relay of 80 with one connection probes only the server of that connection. It must still look for a
// better placement, or connections on an overloaded server stay there while other servers are idle.
func TestLargeFleetMigratesFromOverloadedServer(t *testing.T) {
	for seed := range uint64(4) {
		f := largeFleet(t, seed, 72, 0.5)
		f.StartIdle()
		for _, r := range f.Relays {
			f.StartRelay(r, f.EndpointList())
		}
		f.OpenConnections(72, 4)
		f.Advance(8 * time.Second)
		f.Tally.OverloadedTime, f.Tally.ServedTime = 0, 0
		f.Advance(4 * time.Second)
		if overloaded := f.Tally.OverloadedFraction(); overloaded > 0.1 {
			t.Errorf("seed %d: %.2f of the time after 8 s on overloaded servers, want 0.1 at most: %v",
				seed, overloaded, &f.Tally)
		}
	}
}

// In the scenarios that operators fear most, 80 relays together do not overload a server in slow start, leave
// at most a third of the new servers idle, and forward nothing to a server more than 500 ms after they learnt
// of its drain. A server is overloaded by more than N + 3 roots of N + 3 requests within OverloadWindow, N
// being what the settings allow; the test leaves a tenth of this as a margin.
func TestLargeFleetFaultScenarios(t *testing.T) {
	replaceServers := func(f *Fleet, n int) {
		for i := range n {
			f.After(time.Duration(i)*time.Second, func() { f.ReplaceServer(f.Servers[i], 3*time.Second) })
		}
	}
	scenarios := map[string]func(f *Fleet){
		"six in ten replaced within 7 s": func(f *Fleet) { replaceServers(f, 7) },
		"a zone lost and back cold": func(f *Fleet) {
			for _, s := range f.Servers[:12] {
				if s.Zone == 0 {
					f.FailServer(s, Dead)
					f.After(8*time.Second, func() { f.RestartServer(s) })
				}
			}
		},
		"replaced beside bad ones": func(f *Fleet) {
			f.FailServer(f.Servers[9], Silent)
			f.FailServerWithErrors(f.Servers[10])
			f.Servers[11].Capacity = 0.3
			replaceServers(f, 4)
		},
		"connections scarce": func(f *Fleet) {
			for _, s := range f.Servers {
				s.MaxConnections = 60
			}
			replaceServers(f, 4)
		},
	}
	most, newServers, idle := 0.0, 0, 0
	for name, scenario := range scenarios {
		for seed := range uint64(16) {
			f := largeFleet(t, seed, 100, 0.4)
			f.StartAll()
			f.Advance(9 * time.Second)
			scenario(f)
			f.Advance(18 * time.Second)
			for _, s := range f.Servers {
				if s.StartedAt > 0 && s.State == decide.Ready && f.Now-s.StartedAt > 6*time.Second {
					newServers++
					if s.Connections() == 0 {
						idle++
					}
				}
			}
			most = max(most, f.Tally.SlowStartOverrun)
			if f.Tally.LatestDrainForward > 500*ms || f.Tally.OverloadedFraction() > 0.05 {
				t.Errorf("%s: seed %d: late send over 500 ms or hot fraction over 0.05: %v",
					name, seed, &f.Tally)
			}
		}
	}
	t.Logf("a cold server got %.2f of what makes it fall over, at most; %d of %d new ones idle", most, idle,
		newServers)
	if most > 0.9 || idle*3 > newServers {
		t.Errorf("a server in slow start got %.2f of what overloads it, want 0.9; %d of %d new ones idle",
			most, idle, newServers)
	}
}

// rejectionsDuringDrain drains one of two relays manually. It returns how many requests the other got
// meanwhile, how many of them it rejected for want of capacity, and the fraction of connection time on
// overloaded servers.
func rejectionsDuringDrain(t *testing.T, c Config) (requests, rejected int, overloaded float64) {
	f := newTestFleet(t, c)
	draining := false
	f.FrontAdmits = func(r *Relay) bool { return !draining || r != f.Relays[0] }
	f.StartAll()
	f.Advance(12 * time.Second)
	draining = true
	f.SetDraining(f.Relays[0], true)
	f.EmptyRelay(f.Relays[0], 2500*ms)
	requests, rejected = f.Tally.Counts["asks"], f.Tally.Counts["refused: no room"]
	f.Tally.OverloadedTime, f.Tally.ServedTime = 0, 0
	f.Advance(6 * time.Second)
	return f.Tally.Counts["asks"] - requests, f.Tally.Counts["refused: no room"] - rejected,
		f.Tally.OverloadedFraction()
}

// While a relay drains, its peer gets the clients of both and must not assume that the draining relay still
// gets as many. Without that knowledge the peer rejected them in bursts, for want of capacity that nobody was
// using.
func TestRelayAcceptsDrainingPeersClients(t *testing.T) {
	for _, scenario := range []struct {
		servers, conns int
		part           float64
	}{{6, 120, 0.5}, {6, 120, 0.6}, {12, 300, 0.6}, {6, 60, 0.6}} {
		var requests, rejected [2]int // without peering, with peering
		var overloaded [2]float64
		const seeds = 12
		for seed := range uint64(seeds) {
			for i, withPeering := range []bool{false, true} {
				a, r, h := rejectionsDuringDrain(t, Config{Seed: seed, Relays: 2, Servers: scenario.servers,
					Connections: scenario.conns,
					Utilisation: scenario.part, GroupWork: true, Peering: withPeering})
				requests[i], rejected[i], overloaded[i] = requests[i]+a, rejected[i]+r, overloaded[i]+h/seeds
			}
		}
		t.Logf("%d servers, %d connections, load %.1f: %d of %d refused for want of room without word, %d of %d with it; on overdriven servers %.3f and %.3f of the time",
			scenario.servers, scenario.conns, scenario.part, rejected[0], requests[0],
			rejected[1], requests[1], overloaded[0], overloaded[1])
		if rejected[1]*4 > rejected[0] {
			t.Errorf("%d requests rejected with peering, %d without; want a quarter at most",
				rejected[1], rejected[0])
		}
		if overloaded[1] > overloaded[0]+0.02 {
			t.Errorf("%.3f of the time on overloaded servers with peering, %.3f without; want 0.02 more",
				overloaded[1], overloaded[0])
		}
	}
}
