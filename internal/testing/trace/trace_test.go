package trace

import "testing"

// A trace depends on the values and the order of its actions. A nil trace accepts actions and ignores them.
func TestTraceTellsActionsApart(t *testing.T) {
	of := func(values ...any) uint64 {
		tr := New()
		for _, v := range values {
			tr.Action(v)
		}
		if tr.actions != len(values) {
			t.Errorf("got %d actions from %v, want one for each value", tr.actions, values)
		}
		return tr.hash.Sum64()
	}
	first, again := of("a", "b"), of("a", "b")
	if first != again || first == of("b", "a") || of("a") == of("a", "a") {
		t.Error("traces of different actions are equal, or traces of the same actions differ")
	}
	var none *Trace
	none.Action("a")
	none.Put("b")
}

// A recording with one trace equals the recorded file.
func TestRecordingIsCompared(t *testing.T) {
	tr := New()
	tr.Action("an action", 1)
	tr.Put("with more", 2.5, true)
	var r Recording
	r.Add("sample", 7, tr)
	r.Compare(t)
}
