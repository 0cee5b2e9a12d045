package lifecycle

import "testing"

// A leave serves its open connections for most of its time, then moves them evenly, however few they are.
func TestMovesAreLateAndEven(t *testing.T) {
	for _, time := range []float64{1200, 3000} {
		for _, all := range []int{1, 10, 74} {
			left := all
			for since := 0.0; since <= time; since += migrationInterval {
				n := left - keptDuringShutdown(all, since, time)
				if since < time*keepOpenFraction && n != 0 || n > all/6+1 {
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
		if keptDuringDrain(all, 0) != all || keptDuringDrain(all, migrationDelay) != all {
			t.Errorf("%d: moved before %v ms", all, migrationDelay)
		}
		if keptDuringDrain(all, migrationDeadline) != 0 || migrationDeadline+2*migrationInterval >= 4000 {
			t.Errorf("%d: %d kept at %v ms", all, keptDuringDrain(all, migrationDeadline), migrationDeadline)
		}
		for since := migrationDelay; since < migrationDeadline; since += migrationInterval {
			if step := keptDuringDrain(all, since) - keptDuringDrain(all, since+migrationInterval); step > all/40+1 {
				t.Errorf("%d: %d moved at once at %v ms", all, step, since)
			}
		}
	}
}
