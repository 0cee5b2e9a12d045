package guard

import "testing"

func TestEveryDenialAndInvariantHasANameOfItsOwn(t *testing.T) {
	seen := map[string]bool{}
	for _, d := range append(Denials(), Allowed) {
		seen[d.String()] = true
	}
	if len(seen) != int(denialCount) || seen[""] {
		t.Errorf("denials without names of their own: %v", seen)
	}
	for _, i := range Invariants() {
		if i.String() == "" {
			t.Errorf("invariant %d has no name", i)
		}
	}
	for l := DiscoveryLoss(0); l < discoveryLossCount; l++ {
		if l.String() == "" {
			t.Errorf("loss %d has no name", l)
		}
	}
	if s := denialCount.String(); s != "unknown" {
		t.Errorf("a value that is no denial is called %q", s)
	}
}
