package decide

import "testing"

func TestDedupScopeCovers(t *testing.T) {
	for _, c := range []struct {
		scope              DedupScope
		sameZone, sameCell bool
		want               bool
	}{
		{ScopeAll, false, false, true},
		{ScopeZone, true, false, true},
		{ScopeZone, false, true, false},
		{ScopeCell, false, true, true},
		{ScopeCell, true, false, false},
	} {
		if got := c.scope.Covers(c.sameZone, c.sameCell); got != c.want {
			t.Errorf("case %+v: got %v, want the opposite", c, got)
		}
	}
}

func TestWhenARepeatIsHarmless(t *testing.T) {
	for _, c := range []struct {
		kind  Idempotency
		scope DedupScope
		want  bool
	}{
		{Idempotent, ScopeCell, true},
		{IdempotentWithKey, ScopeAll, true},
		{IdempotentWithKey, ScopeZone, false},
		{IdempotentWithKey, ScopeCell, false},
		{NonIdempotent, ScopeAll, false},
	} {
		if got := c.kind.RepeatIsHarmless(c.scope); got != c.want {
			t.Errorf("case %+v: got %v, want the opposite", c, got)
		}
	}
}
