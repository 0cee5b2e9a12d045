package decide

import "testing"

func TestKeyFailuresCountUntilCleared(t *testing.T) {
	var f keyFailureCounts
	if n := f.recordFailure(0) + f.recordFailure(0); n != 2 {
		t.Errorf("sum of the counts of two failures without a key: %d, want 2", n)
	}
	f.recordFailure(7)
	if n := f.recordFailure(7); n != 2 {
		t.Errorf("second failure of a key returned %d, want 2", n)
	}
	f.clearFailures(7)
	if n := f.recordFailure(7); n != 1 {
		t.Errorf("first failure after clearFailures returned %d, want 1", n)
	}
}

func TestOldKeysAreForgottenAGenerationAtATime(t *testing.T) {
	var f keyFailureCounts
	f.recordFailure(7)
	for key := range uint64(maxFailingKeys) {
		f.recordFailure(100 + key)
	}
	if n := f.recordFailure(7); n != 2 {
		t.Errorf("failure of a key after one generation returned %d, want 2", n)
	}
	for key := range uint64(3 * maxFailingKeys) {
		f.recordFailure(1_000_000 + key)
	}
	if n := f.recordFailure(7); n != 1 {
		t.Errorf("failure of a key after three generations returned %d, want 1", n)
	}
}
