package decide

import "testing"

func TestKeyFailuresCountUntilCleared(t *testing.T) {
	var f keyFailureCounts
	if n := f.recordFailure(0) + f.recordFailure(0); n != 2 {
		t.Errorf("no key is counted: %d", n)
	}
	f.recordFailure(7)
	if n := f.recordFailure(7); n != 2 {
		t.Errorf("second failure counts %d", n)
	}
	f.clearFailures(7)
	if n := f.recordFailure(7); n != 1 {
		t.Errorf("after a success it counts %d", n)
	}
}

func TestOldKeysAreForgottenAGenerationAtATime(t *testing.T) {
	var f keyFailureCounts
	f.recordFailure(7)
	for key := range uint64(maxFailingKeysPerGeneration) {
		f.recordFailure(100 + key)
	}
	if n := f.recordFailure(7); n != 2 {
		t.Errorf("forgotten after one generation: %d", n)
	}
	for key := range uint64(3 * maxFailingKeysPerGeneration) {
		f.recordFailure(1_000_000 + key)
	}
	if n := f.recordFailure(7); n != 1 {
		t.Errorf("kept over three generations: %d", n)
	}
}
