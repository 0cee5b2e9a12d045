package trace

import "testing"

// A trace tells actions apart by their values and their order, and one that is not kept costs nothing.
func TestTraceTellsActionsApart(t *testing.T) {
	of := func(values ...any) uint64 {
		tr := New()
		for _, v := range values {
			tr.Action(v)
		}
		if tr.actions != len(values) {
			t.Errorf("%d actions of %v", tr.actions, values)
		}
		return tr.hash.Sum64()
	}
	first, again := of("a", "b"), of("a", "b")
	if first != again || first == of("b", "a") || of("a") == of("a", "a") {
		t.Error("traces of different actions are alike, or of the same ones differ")
	}
	var none *Trace
	none.Action("a")
	none.Put("b")
}

// A recording is compared with the file that was recorded: here with one line of one trace.
func TestRecordingIsCompared(t *testing.T) {
	tr := New()
	tr.Action("an action", 1)
	tr.Put("with more", 2.5, true)
	var r Recording
	r.Add("sample", 7, tr)
	r.Compare(t)
}
