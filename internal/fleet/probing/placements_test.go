package probing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A DedupWindow accepts each sequence number once, in any order, up to 63 below the highest.
func TestDedupWindow(t *testing.T) {
	for seed := range uint64(50) {
		rng, w, seen := rand.New(rand.NewPCG(seed, 1)), DedupWindow{}, map[uint64]bool{}
		for high := uint64(100); high < 400; high++ {
			n := high - rng.Uint64N(63)
			if got := w.Accept(1, n); got == seen[n] {
				t.Fatalf("seed %d: Accept(1, %d) = %v, but received before: %v", seed, n, got, seen[n])
			}
			seen[n] = true
		}
		if w.Accept(1, 1) || !w.Accept(2, 1) || w.Accept(1, 1000) {
			t.Error("accepted a far lower number or an old incarnation, or rejected a new incarnation")
		}
	}
}

// Every relay counts each placement of the others once, though packets are lost and arrive by several routes.
// Invalid placements are dropped, each for its own reason.
func TestPlacementsAreSummed(t *testing.T) {
	rs, ss := newFleet(9, 12, 3)
	rng := rand.New(rand.NewPCG(3, 3))
	table := Assign(rs, ss)
	schedulers, sent, got := make([]*Scheduler, len(rs)), make([]int, len(ss)), make([][]int, len(rs))
	index := map[uint64]int{}
	for i, s := range ss {
		index[s.Key] = i
	}
	relayIndex, placementCount := map[string]int{}, 0
	for i, r := range rs {
		schedulers[i], got[i], relayIndex[r.Name] = New(r.Name, uint64(i)), make([]int, len(ss)), i
		schedulers[i].Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss,
			Assignment: table},
			nil)
	}
	var execute func(i int, now time.Duration, acts []Action)
	execute = func(i int, now time.Duration, acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case PeerPlacement:
				got[i][index[a.ServerKey]] += a.Delta
				if a.Age > time.Second {
					t.Errorf("a placement arrived at an age of %v, want at most 1s", a.Age)
				}
			case SendPlacements:
				if to := relayIndex[a.To]; rng.Float64() > 0.1 {
					execute(to, now, schedulers[to].Handle(now+5*time.Millisecond,
						PlacementsReceived{From: rs[i].Name, Deltas: a.Deltas}, nil))
				}
			}
		}
	}
	for now := time.Second; now < 9*time.Second; now += 25 * time.Millisecond {
		for i, k := range schedulers {
			if now < 7*time.Second && rng.Float64() < 0.3 { // 100 a second in the whole fleet
				s, n := rng.IntN(len(ss)), 1
				if rng.Float64() < 0.4 { // ended connections
					n = -1
				}
				sent[s] += n
				got[i][s] += n
				placementCount++
				k.Handle(now, LocalPlacement{ServerKey: ss[s].Key, Delta: n}, nil)
			}
			execute(i, now, k.Handle(now, Tick{}, nil))
		}
	}
	missed, all := 0, placementCount*len(rs)
	for i := range rs {
		for s, n := range got[i] {
			missed += max(sent[s]-n, n-sent[s])
		}
	}
	if missed*200 > all {
		t.Errorf("%d of %d placements did not arrive, want at most 0.5%%", missed, all)
	}
	valid := PlacementDelta{ServerKey: ss[0].Key, Origin: "r1", Incarnation: 1, Seq: 9000, Delta: 1}
	for _, c := range []struct {
		reason DropReason
		change func(p *PlacementDelta)
	}{
		{DropUnknownOrigin, func(p *PlacementDelta) { p.Origin = "stranger" }},
		{DropUnknownOrigin, func(p *PlacementDelta) { p.ServerKey++ }},
		{DropImplausible, func(p *PlacementDelta) { p.Delta = 0 }},
		{DropImplausible, func(p *PlacementDelta) { p.Delta = 1 << 40 }},
		{DropImplausible, func(p *PlacementDelta) { p.Age = math.MinInt64 }},
		{DropTooOld, func(p *PlacementDelta) { p.Age = MaxReadingAge + 1 }},
	} {
		p, k := valid, schedulers[0]
		c.change(&p)
		if before := k.counters.dropped[c.reason]; len(k.Handle(9*time.Second,
			PlacementsReceived{From: "r2", Deltas: []PlacementDelta{p}}, nil)) > 0 ||
			k.counters.dropped[c.reason] != before+1 {
			t.Errorf("placement that should be dropped as %s: counts by reason %v", c.reason,
				k.counters.dropped)
		}
	}
}
