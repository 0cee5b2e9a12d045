package relay

import (
	"testing"
	"time"

	"capersail/decide"
)

// A retry is let go only within the window of its key, from when the first attempt that may have run was
// let go: the decision module reckons by when it wanted an attempt, and a dial can take up the rest. What
// never ran opens no window.
func TestNoRetryAfterTheDedupWindow(t *testing.T) {
	class := decide.ClassInfo{Idempotency: decide.IdempotentWithKey, DedupWindow: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		first decide.Status
		dial  time.Duration // until the second connection stands
		want  bool
	}{
		"inside":         {decide.Reset, 99 * time.Millisecond, true},
		"over":           {decide.Reset, 101 * time.Millisecond, false},
		"none has run":   {decide.AtCapacity, 101 * time.Millisecond, true},
		"none has begun": {decide.ConnectFailed, 101 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			table, _ := newTestTable(decide.Settings{MaxAttempts: 3}, class)
			clock := table.Clock
			table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b"))
			r := table.Open(RequestParams{Timeout: 5 * time.Second}, &fakeSide{})
			startFirst(table, r, 0)
			clock.Set(clock.Now() + time.Second) // its own dial counts for nothing
			if !r.Attach(0, &fakeSide{}) || !r.BeginWrite(0) {
				t.Fatal("the first attempt is not let go")
			}
			r.EndAttempt(0, c.first, decide.NoLoadReport)
			table.startAttempt(decide.Forward{ID: r.ID, Server: 1}, nil)
			clock.Set(clock.Now() + c.dial)
			if got := r.Attach(1, &fakeSide{}) && r.BeginWrite(1); got != c.want {
				t.Errorf("let go %v", got)
			}
		})
	}
}

// A relay that shuts down tells a Retry-After only where the settings allow one.
func TestShutdownRejectionFollowsTheRetryAfterSetting(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		table, _ := newTestTable(decide.Settings{RetryAfter: allowed}, decide.ClassInfo{})
		table.BeginShutdown()
		_, a := table.Open(RequestParams{Timeout: 500 * time.Millisecond}, &fakeSide{}).State()
		if a.Kind != Rejected || (a.RetryAfter > 0) != allowed {
			t.Errorf("allowed %v: %+v", allowed, a)
		}
	}
}

func TestEveryEnumerationHasNames(t *testing.T) {
	for state, name := range stateNames {
		if name == "" || State(state).String() != name {
			t.Errorf("state %d is called %q", state, name)
		}
	}
	if s := State(len(stateNames)).String(); s != "unknown" {
		t.Errorf("a value that is no state is called %q", s)
	}
	if Rejected.String() != "rejected" || AbortiveClose.String() != "abortive" {
		t.Errorf("called %v and %v", Rejected, AbortiveClose)
	}
}
