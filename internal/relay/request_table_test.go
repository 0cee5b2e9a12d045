package relay

import (
	"testing"

	"capersail/decide"
)

// A repeat is let go only within the window of repeats, from when the first attempt that may have run was let go: the module
// reckons by when it wanted a send, and a dial can take up the rest. What never ran opens no window.
func TestNoRepeatAfterItsWindow(t *testing.T) {
	for name, c := range map[string]struct {
		first decide.Status
		dial  float64 // ms until the second connection is up
		want  bool
	}{
		"inside":         {decide.Reset, 99, true},
		"over":           {decide.Reset, 101, false},
		"none has run":   {decide.AtCapacity, 101, true},
		"none has begun": {decide.ConnectFailed, 101, true},
	} {
		clock, wire := NewManualClock(), &side{}
		x := NewRequestTable(&Deployment{Settings: decide.Settings{MaxAttempts: 3, Classes: []decide.ClassInfo{{Idempotency: decide.IdempotentWithKey, DedupWindow: Duration(100)}}}}, clock, wire)
		x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "a", Mode: decide.Ready}, {ID: "b", Mode: decide.Ready}})
		call := x.Open(OpenRequest{Timeout: 5000}, &side{})
		x.startAttempt(call.ID, 0, 0, nil)
		clock.SetMillis(clock.NowMillis() + 1000) // its own dial counts for nothing
		if !call.Attach(0, &side{}) || !call.BeginWrite(0) {
			t.Fatal("the first attempt is not let go")
		}
		call.EndAttempt(0, c.first, decide.NoLoadReport)
		x.startAttempt(call.ID, 1, 0, nil)
		clock.SetMillis(clock.NowMillis() + c.dial)
		if got := call.Attach(1, &side{}) && call.BeginWrite(1); got != c.want {
			t.Errorf("%s: let go %v", name, got)
		}
	}
}

// A relay that leaves tells a time to come again only where the settings allow one.
func TestLeavingTellsNoTimeWhereNoneIsAllowed(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		x := NewRequestTable(&Deployment{Settings: decide.Settings{RetryAfter: allowed, Classes: []decide.ClassInfo{{}}}}, NewManualClock(), &side{})
		x.BeginShutdown()
		if _, a := x.Open(OpenRequest{Timeout: 500}, &side{}).State(); a.Kind != Rejected || (a.RetryAfter > 0) != allowed {
			t.Errorf("allowed %v: %+v", allowed, a)
		}
	}
}
