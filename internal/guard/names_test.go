package guard

import "testing"

func TestEveryDenialAndInvariantHasANameOfItsOwn(t *testing.T) {
	seen := map[string]bool{}
	for _, d := range append(Denials(), Allowed) {
		seen[d.String()] = true
	}
	if len(seen) != int(denialCount) || seen[""] {
		t.Errorf("names of the denials are %v, want a unique non-empty name for each", seen)
	}
	for _, i := range Invariants() {
		if i.String() == "" {
			t.Errorf("invariant %d has an empty name", i)
		}
	}
	for l := DiscoveryLoss(0); l < discoveryLossCount; l++ {
		if l.String() == "" {
			t.Errorf("discovery loss %d has an empty name", l)
		}
	}
	if s := denialCount.String(); s != "unknown" {
		t.Errorf("undefined denial has the name %q, want \"unknown\"", s)
	}
}
