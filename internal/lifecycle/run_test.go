package lifecycle

import "testing"

// A leave serves its open connections for most of its time, then moves them evenly, however few they are.
func TestMovesAreLateAndEven(t *testing.T) {
	for _, time := range []float64{1200, 3000} {
		for _, all := range []int{1, 10, 74} {
			left := all
			for since := 0.0; since <= time; since += moveStep {
				n := left - staying(all, since, time)
				if since < time*holdPart && n != 0 || n > all/6+1 {
					t.Errorf("%d of %d are moved after %v of %v ms", n, all, since, time)
				}
				left -= n
			}
			if left > 0 {
				t.Errorf("%d of %d are left after %v ms", left, all, time)
			}
		}
	}
}

// A drain by hand keeps its connections while new ones still come, moves them evenly, and has moved the last of
// them well before 4 s, when one still held is lost.
func TestDrainMovesAllInTime(t *testing.T) {
	for _, all := range []int{0, 1, 7, 300} {
		if keptBy(all, 0) != all || keptBy(all, drainHold) != all {
			t.Errorf("%d: moved before %v ms", all, drainHold)
		}
		if keptBy(all, drainBy) != 0 || drainBy+2*moveStep >= 4000 {
			t.Errorf("%d: %d kept at %v ms", all, keptBy(all, drainBy), drainBy)
		}
		for since := drainHold; since < drainBy; since += moveStep {
			if step := keptBy(all, since) - keptBy(all, since+moveStep); step > all/40+1 {
				t.Errorf("%d: %d moved at once at %v ms", all, step, since)
			}
		}
	}
}
