package membership

import (
	"fmt"
	"testing"
)

// partitionPair cuts the network between two relays in both directions.
func (sim *simulatedFleet) partitionPair(a, b int) {
	sim.partitioned[[2]int{a, b}] = true
	sim.partitioned[[2]int{b, a}] = true
}

// Voters may disagree for a minute on whether a relay is alive, as only some of them reach it. The view may
// change only a few times meanwhile. Guards against some voters adding the relay to the view and others
// removing it, over and over.
func TestViewsSettleWhereVotersDiffer(t *testing.T) {
	const (
		differFor  = 60_000.0 // ms
		mostEpochs = 6        // the relay is removed, shares reach their targets, and it joins again once
	)
	for _, relays := range []int{4, 5, 8} {
		for without := 1; without < relays-1; without++ {
			for seed := range uint64(6) {
				sim := newSimulatedFleet(relays, relays, seed)
				for i := range sim.relays {
					sim.start(i)
				}
				sim.run(15_000)
				before := sim.highestEpoch
				for i := range without {
					sim.partitionPair(relays-1, i)
				}
				sim.run(differFor)
				name := fmt.Sprintf("%d relays, %d of them cut off from the last, seed %d",
					relays, without, seed)
				if changes := sim.highestEpoch - before; changes > mostEpochs {
					t.Errorf("%s: got %d new views in %v s, want 6 at most", name, changes, differFor/1000)
				}
				if sim.maxSum > 1 {
					t.Errorf("%s: the shares added up to %v, want 1 at most", name, sim.maxSum)
				}
			}
		}
	}
}

// Two of five voters die while a third restarts, so the third never hears from them. Both must leave the view
// all the same. Guards against a dead member that stays in the view for good, because too few voters saw it
// fail.
func TestDeadMembersGoThoughARestartedVoterNeverHeardThem(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulatedFleet(5, 5, seed)
		for i := range sim.relays {
			sim.start(i)
		}
		sim.run(15_000)
		for _, i := range []int{2, 3, 4} {
			sim.kill(i)
		}
		sim.start(2)
		sim.run(15_000)
		if err := sim.checkAgreement(); err != nil {
			t.Errorf("seed %d: no agreement of the three running relays: %v", seed, err)
		}
	}
}
