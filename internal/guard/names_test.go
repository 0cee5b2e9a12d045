package guard

import "testing"

func TestNames(t *testing.T) {
	seen := map[string]bool{}
	for _, d := range append(Denials(), Allowed) {
		seen[d.String()] = true
	}
	if len(seen) != int(denialCount) || seen[""] {
		t.Errorf("denials without names of their own: %v", seen)
	}
	for _, r := range Invariants() {
		if r.String() == "" {
			t.Errorf("rule %d has no name", r)
		}
	}
}
