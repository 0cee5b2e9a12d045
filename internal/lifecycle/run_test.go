package lifecycle

import (
	"testing"
	"time"
)

// A shutdown serves its open connections for most of its time, then migrates them evenly, however few they
// are.
func TestShutdownMigratesLateAndEvenly(t *testing.T) {
	for _, span := range []time.Duration{1200 * time.Millisecond, 3 * time.Second} {
		for _, all := range []int{1, 10, 74} {
			left := all
			for since := time.Duration(0); since <= span; since += migrationInterval {
				n := left - keptDuringShutdown(all, since, span)
				if float64(since) < float64(span)*keepOpenFraction && n != 0 || n > all/6+1 {
					t.Errorf("%d of %d are migrated after %v of %v", n, all, since, span)
				}
				left -= n
			}
			if left > 0 {
				t.Errorf("%d of %d are left after %v", left, all, span)
			}
		}
	}
}

// A manual drain keeps its connections while new ones still come, migrates them evenly, and has migrated the
// last of them well before 4 s, when one still open is lost.
func TestDrainMigratesAllInTime(t *testing.T) {
	for _, all := range []int{0, 1, 7, 300} {
		if keptDuringDrain(all, 0) != all || keptDuringDrain(all, migrationDelay) != all {
			t.Errorf("%d: migrated before %v", all, migrationDelay)
		}
		kept := keptDuringDrain(all, migrationDeadline)
		if kept != 0 || migrationDeadline+2*migrationInterval >= 4*time.Second {
			t.Errorf("%d: %d kept at %v", all, kept, migrationDeadline)
		}
		for since := migrationDelay; since < migrationDeadline; since += migrationInterval {
			step := keptDuringDrain(all, since) - keptDuringDrain(all, since+migrationInterval)
			if step > all/40+1 {
				t.Errorf("%d: %d migrated at once at %v", all, step, since)
			}
		}
	}
}
