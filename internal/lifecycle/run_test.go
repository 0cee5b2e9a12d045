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
