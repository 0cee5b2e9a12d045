package membership

import (
	"fmt"
	"testing"
)

// partitionPair cuts two relays off from each other, both ways.
func (w *simulatedFleet) partitionPair(a, b int) {
	w.partitioned[[2]int{a, b}] = true
	w.partitioned[[2]int{b, a}] = true
}

// Voters that differ for a minute on whether a relay is there change the view a few times at most. Guards
// against a relay that is taken into the view by some voters and out of it by the others, over and over.
func TestViewsSettleWhereVotersDiffer(t *testing.T) {
	const (
		differFor  = 60_000.0 // ms
		mostEpochs = 6        // out, with the shares' way to their targets, and in again once
	)
	for _, relays := range []int{4, 5, 8} {
		for without := 1; without < relays-1; without++ {
			for seed := range uint64(6) {
				w := newSimulatedFleet(relays, relays, seed)
				for i := range w.relays {
					w.start(i)
				}
				w.run(15_000)
				before := w.highestEpoch
				for i := range without {
					w.partitionPair(relays-1, i)
				}
				w.run(differFor)
				name := fmt.Sprintf("%d relays, %d of them without the last, seed %d", relays, without, seed)
				if changes := w.highestEpoch - before; changes > mostEpochs {
					t.Errorf("%s: %d views in %v s", name, changes, differFor/1000)
				}
				if w.maxSum > 1 {
					t.Errorf("%s: the shares added up to %v", name, w.maxSum)
				}
			}
		}
	}
}

// Two of five voters die, and a third is restarted and never hears them: both go out of the view all the same.
// Guards against a dead member that stays for good because too few voters saw it die.
func TestDeadMembersGoThoughARestartedVoterNeverHeardThem(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulatedFleet(5, 5, seed)
		for i := range w.relays {
			w.start(i)
		}
		w.run(15_000)
		for _, i := range []int{2, 3, 4} {
			w.kill(i)
		}
		w.start(2)
		w.run(15_000)
		if err := w.checkAgreement(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
