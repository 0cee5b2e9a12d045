package probing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A Window takes each number once, in any order, up to 64 behind.
func TestDedupWindow(t *testing.T) {
	for seed := range uint64(50) {
		rng, w, seen := rand.New(rand.NewPCG(seed, 1)), DedupWindow{}, map[uint64]bool{}
		for high := uint64(100); high < 400; high++ {
			n := high - rng.Uint64N(63)
			if got := w.Accept(1, n); got == seen[n] {
				t.Fatalf("seed %d: %d taken: %v, seen before: %v", seed, n, got, seen[n])
			}
			seen[n] = true
		}
		if w.Accept(1, 1) || !w.Accept(2, 1) || w.Accept(1, 1000) {
			t.Error("a number far behind, or of an earlier life, was taken, or one of a new life was not")
		}
	}
}

// What each relay sends to a server comes to every other once, though packets are lost and come by many
// ways; what makes no sense is left out for its reason.
func TestPlacementsAreSummed(t *testing.T) {
	rs, ss := newFleet(9, 12, 3)
	rng := rand.New(rand.NewPCG(3, 3))
	table := Assign(rs, ss)
	schedulers, sent, got := make([]*Scheduler, len(rs)), make([]int, len(ss)), make([][]int, len(rs))
	index := map[uint64]int{}
	for i, s := range ss {
		index[s.Key] = i
	}
	at, shared := map[string]int{}, 0
	for i, r := range rs {
		schedulers[i], got[i], at[r.Name] = New(r.Name, uint64(i)), make([]int, len(ss)), i
		schedulers[i].Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss,
			Assignment: table},
			nil)
	}
	var act func(i int, now time.Duration, acts []Action)
	act = func(i int, now time.Duration, acts []Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case PeerPlacement:
				got[i][index[a.ServerKey]] += a.Delta
				if a.Age > time.Second {
					t.Errorf("a placement is %v old", a.Age)
				}
			case SendPlacements:
				if to := at[a.To]; rng.Float64() > 0.1 {
					act(to, now, schedulers[to].Handle(now+5*time.Millisecond,
						PlacementsReceived{From: rs[i].Name, Deltas: a.Deltas}, nil))
				}
			}
		}
	}
	for now := time.Second; now < 9*time.Second; now += 25 * time.Millisecond {
		for i, k := range schedulers {
			if now < 7*time.Second && rng.Float64() < 0.3 { // 100 a second of all
				s, n := rng.IntN(len(ss)), 1
				if rng.Float64() < 0.4 { // as many ends, nearly
					n = -1
				}
				sent[s] += n
				got[i][s] += n
				shared++
				k.Handle(now, LocalPlacement{ServerKey: ss[s].Key, Delta: n}, nil)
			}
			act(i, now, k.Handle(now, Tick{}, nil))
		}
	}
	missed, all := 0, shared*len(rs)
	for i := range rs {
		for s, n := range got[i] {
			missed += max(sent[s]-n, n-sent[s])
		}
	}
	if missed*200 > all {
		t.Errorf("%d of %d did not arrive", missed, all)
	}
	good := PlacementDelta{ServerKey: ss[0].Key, Origin: "r1", Incarnation: 1, Seq: 9000, Delta: 1}
	for _, c := range []struct {
		why    DropReason
		change func(p *PlacementDelta)
	}{
		{DropUnknownOrigin, func(p *PlacementDelta) { p.Origin = "stranger" }},
		{DropUnknownOrigin, func(p *PlacementDelta) { p.ServerKey++ }},
		{DropImplausible, func(p *PlacementDelta) { p.Delta = 0 }},
		{DropImplausible, func(p *PlacementDelta) { p.Delta = 1 << 40 }},
		{DropImplausible, func(p *PlacementDelta) { p.Age = math.MinInt64 }},
		{DropTooOld, func(p *PlacementDelta) { p.Age = MaxReadingAge + 1 }},
	} {
		p, k := good, schedulers[0]
		c.change(&p)
		if before := k.counters.dropped[c.why]; len(k.Handle(9*time.Second,
			PlacementsReceived{From: "r2", Deltas: []PlacementDelta{p}}, nil)) > 0 ||
			k.counters.dropped[c.why] != before+1 {
			t.Errorf("%s: %v", c.why, k.counters.dropped)
		}
	}
}
