package model

import (
	"testing"
	"time"

	"capersail/decide"
)

// fleet is a Fleet whose impossible moments fail the test.
func newTestFleet(t testing.TB, c Config) *Fleet {
	f := New(c)
	f.Fatal = func(what string) { t.Fatalf("seed %d: %s", c.Seed, what) }
	return f
}

// vast is 80 relays before 12 servers, each with knowledge of its own only.
func largeFleet(t testing.TB, seed uint64, conns int, part float64) *Fleet {
	return newTestFleet(t, Config{Seed: seed, Relays: 80, Servers: 12, Connections: conns, Utilisation: part,
		GroupWork: true})
}

// All relays start at once while discovery can work through their calls in no less than 6 s, and most of
// them are killed and start again with the list that they had. Calls that are given up take discovery's
// time too: relays that all called within 1.25 s, and again within 0.5 s, 1 s, 2 s, kept each other from
// the list for 10 s.
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

// A relay among 80 that gets a request in 20 s must not take it for the 53 a second that all would get if one
// in 1.5 s came to each: half of them were rejected at a fleet that stood at half its load.
func TestLargeFleetRejectsFewAtModerateLoad(t *testing.T) {
	asks, refused := 0, 0
	for seed := range uint64(4) {
		f := largeFleet(t, seed, 100, 0.6)
		f.StartAll()
		f.Advance(20 * time.Second)
		asks += f.Tally.Counts["asks"]
		refused += f.Tally.Counts["refused: no room"]
	}
	if refused > asks/6 {
		t.Errorf("%d of %d refused", refused, asks)
	}
}

// A relay among 80 that holds one connection probes nobody but its server. It must ask for a better place, or
// the connections on an overdriven server stay for good while others stand idle.
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
		if hot := f.Tally.OverloadedFraction(); hot > 0.1 {
			t.Errorf("seed %d: %.2f of the time on overdriven servers, 8 s after: %v", seed, hot, &f.Tally)
		}
	}
}

// On the days that operators fear 80 relays together send no server in slow start what overloads it,
// leave few of the new ones idle, and send nothing to a server 500 ms after notice that it drains. What
// makes one fall over is more than N + 3 roots of N + 3 in the time that the settings name, N being what
// they allow; a tenth of it is left to spare.
func TestLargeFleetFaultScenarios(t *testing.T) {
	some := func(f *Fleet, n int) {
		for i := range n {
			f.After(time.Duration(i)*time.Second, func() { f.ReplaceServer(f.Servers[i], 3*time.Second) })
		}
	}
	days := map[string]func(f *Fleet){
		"six in ten replaced within 7 s": func(f *Fleet) { some(f, 7) },
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
			f.SetAnsweringErrors(f.Servers[10])
			f.Servers[11].Capacity = 0.3
			some(f, 4)
		},
		"connections scarce": func(f *Fleet) {
			for _, s := range f.Servers {
				s.MaxConnections = 60
			}
			some(f, 4)
		},
	}
	most, fresh, idle := 0.0, 0, 0
	for name, day := range days {
		for seed := range uint64(16) {
			f := largeFleet(t, seed, 100, 0.4)
			f.StartAll()
			f.Advance(9 * time.Second)
			day(f)
			f.Advance(18 * time.Second)
			for _, s := range f.Servers {
				if s.StartedAt > 0 && s.State == decide.Ready && f.Now-s.StartedAt > 6*time.Second {
					fresh++
					if s.Connections() == 0 {
						idle++
					}
				}
			}
			most = max(most, f.Tally.SlowStartOverrun)
			if f.Tally.LatestDrainForward > 500*ms || f.Tally.OverloadedFraction() > 0.05 {
				t.Errorf("%s: seed %d: %v", name, seed, &f.Tally)
			}
		}
	}
	t.Logf("a cold server got %.2f of what makes it fall over, at most; %d of %d new ones idle", most, idle,
		fresh)
	if most > 0.9 || idle*3 > fresh {
		t.Errorf("%.2f of what makes a cold server fall over; %d of %d new ones idle", most, idle, fresh)
	}
}

// drainOf plays a manual drain of one of two relays and returns how many requests came to the other
// meanwhile, and how many of those it rejected for want of capacity.
func rejectionsDuringDrain(t *testing.T, c Config) (asks, refused int, hot float64) {
	f := newTestFleet(t, c)
	drains := false
	f.FrontAdmits = func(r *Relay) bool { return !drains || r != f.Relays[0] }
	f.StartAll()
	f.Advance(12 * time.Second)
	drains = true
	f.SetDraining(f.Relays[0], true)
	f.EmptyRelay(f.Relays[0], 2500*ms)
	asks, refused = f.Tally.Counts["asks"], f.Tally.Counts["refused: no room"]
	f.Tally.OverloadedTime, f.Tally.ServedTime = 0, 0
	f.Advance(6 * time.Second)
	return f.Tally.Counts["asks"] - asks, f.Tally.Counts["refused: no room"] - refused,
		f.Tally.OverloadedFraction()
}

// While a relay drains, the other takes what comes to both, and takes nobody else to see as much: it used
// to reject its peer's clients in bursts, for want of capacity that nobody else was taking.
func TestRelayAcceptsDrainingPeersClients(t *testing.T) {
	for _, day := range []struct {
		servers, conns int
		part           float64
	}{{6, 120, 0.5}, {6, 120, 0.6}, {12, 300, 0.6}, {6, 60, 0.6}} {
		var asks, refused [2]int // without notice, and with it
		var hot [2]float64
		const seeds = 12
		for seed := range uint64(seeds) {
			for i, talks := range []bool{false, true} {
				a, r, h := rejectionsDuringDrain(t, Config{Seed: seed, Relays: 2, Servers: day.servers,
					Connections: day.conns,
					Utilisation: day.part, GroupWork: true, Peering: talks})
				asks[i], refused[i], hot[i] = asks[i]+a, refused[i]+r, hot[i]+h/seeds
			}
		}
		t.Logf("%d servers, %d connections, load %.1f: %d of %d refused for want of room without word, %d of %d with it; on overdriven servers %.3f and %.3f of the time",
			day.servers, day.conns, day.part, refused[0], asks[0], refused[1], asks[1], hot[0], hot[1])
		if refused[1]*4 > refused[0] {
			t.Errorf("%d refused with word, %d without", refused[1], refused[0])
		}
		if hot[1] > hot[0]+0.02 {
			t.Errorf("%.3f of the time on overdriven servers with word, %.3f without", hot[1], hot[0])
		}
	}
}
