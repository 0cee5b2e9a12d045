package relay

import (
	"testing"
	"time"

	"capersail/decide"
)

// A retry may only be written within the dedup window, which starts with the first byte of the first attempt
// that a server may have executed. The decision module plans by the time at which it starts an attempt, but
// the dial of the retry can use up the rest of the window. An attempt that was never executed starts no
// window.
func TestNoRetryAfterTheDedupWindow(t *testing.T) {
	class := decide.ClassInfo{Idempotency: decide.IdempotentWithKey, DedupWindow: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		first decide.Status
		dial  time.Duration // time that the second attempt takes to connect
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
			clock.Set(clock.Now() + time.Second) // the dial of the first attempt is not part of the window
			if !r.Attach(0, &fakeSide{}) || !r.BeginWrite(0) {
				t.Fatal("Attach or BeginWrite refused the first attempt, want it permitted")
			}
			r.EndAttempt(0, c.first, decide.NoLoadReport)
			table.startAttempt(decide.Forward{ID: r.ID, Server: 1}, nil)
			clock.Set(clock.Now() + c.dial)
			if got := r.Attach(1, &fakeSide{}) && r.BeginWrite(1); got != c.want {
				t.Errorf("second attempt permitted: got %v, want the opposite", got)
			}
		})
	}
}

// A relay that is shutting down sends a Retry-After only if the settings allow one.
func TestShutdownRejectionFollowsTheRetryAfterSetting(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		table, _ := newTestTable(decide.Settings{RetryAfter: allowed}, decide.ClassInfo{})
		table.BeginShutdown()
		_, a := table.Open(RequestParams{Timeout: 500 * time.Millisecond}, &fakeSide{}).State()
		if a.Kind != Rejected || (a.RetryAfter > 0) != allowed {
			t.Errorf("Retry-After allowed %v: got %+v, want a rejection with a Retry-After only if allowed",
				allowed, a)
		}
	}
}

func TestEveryEnumerationHasNames(t *testing.T) {
	for state, name := range stateNames {
		if name == "" || State(state).String() != name {
			t.Errorf("state %d has the name %q, want a non-empty name that String returns", state, name)
		}
	}
	if s := State(len(stateNames)).String(); s != "unknown" {
		t.Errorf("undefined state has the name %q, want \"unknown\"", s)
	}
	if Rejected.String() != "rejected" || AbortiveClose.String() != "abortive" {
		t.Errorf("got the names %v and %v, want rejected and abortive", Rejected, AbortiveClose)
	}
}
