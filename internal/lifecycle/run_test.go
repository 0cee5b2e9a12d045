package lifecycle

import (
	"testing"
	"time"
)

// A shutdown serves open connections for most of the serve span, then migrates them evenly, however few there
// are.
func TestShutdownMigratesLateAndEvenly(t *testing.T) {
	for _, span := range []time.Duration{1200 * time.Millisecond, 3 * time.Second} {
		for _, all := range []int{1, 10, 74} {
			left := all
			for since := time.Duration(0); since <= span; since += migrationInterval {
				n := left - keptDuringShutdown(all, since, span)
				if float64(since) < float64(span)*keepOpenFraction && n != 0 || n > all/6+1 {
					t.Errorf("%d of %d connections migrated in one step after %v of %v, want even steps",
						n, all, since, span)
				}
				left -= n
			}
			if left > 0 {
				t.Errorf("%d of %d connections not migrated after the serve span of %v, want 0",
					left, all, span)
			}
		}
	}
}

// A manual drain keeps its connections while new ones still arrive, then migrates them evenly. It has
// migrated the last one well before 4 s, because a connection that is still open then counts as lost.
func TestDrainMigratesAllInTime(t *testing.T) {
	for _, all := range []int{0, 1, 7, 300} {
		if keptDuringDrain(all, 0) != all || keptDuringDrain(all, migrationDelay) != all {
			t.Errorf("with %d connections: some migrated before %v, want none", all, migrationDelay)
		}
		kept := keptDuringDrain(all, migrationDeadline)
		if kept != 0 || migrationDeadline+2*migrationInterval >= 4*time.Second {
			t.Errorf("with %d connections: %d kept at %v, want 0, and the deadline well before 4 s",
				all, kept, migrationDeadline)
		}
		for since := migrationDelay; since < migrationDeadline; since += migrationInterval {
			step := keptDuringDrain(all, since) - keptDuringDrain(all, since+migrationInterval)
			if step > all/40+1 {
				t.Errorf("with %d connections: %d migrated in one step at %v, want an even rate",
					all, step, since)
			}
		}
	}
}
