package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
)

// newLoggingTable returns a table with one class and one ready server, and the buffer that it logs to.
func newLoggingTable(class decide.ClassInfo) (*RequestTable, *strings.Builder) {
	table, _ := newTestTable(decide.Settings{}, class)
	log := &strings.Builder{}
	table.Log = zerolog.New(log).Level(zerolog.InfoLevel)
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a"))
	return table, log
}

// A first line whose write was delayed until after DrainGrace is a violation. It must be counted and logged,
// because operators have an alarm on the counter and search for the log message.
func TestALineWrittenAfterTheDrainGraceIsAViolation(t *testing.T) {
	for writeDelay, want := range map[time.Duration]uint64{
		guard.DrainGrace:                    0,
		guard.DrainGrace + time.Millisecond: 1,
	} {
		table, log := newLoggingTable(decide.ClassInfo{})
		r := open(table, 0)
		startFirst(table, r, 0)
		if !r.Attach(0, &fakeSide{}) || !r.BeginWrite(0) {
			t.Fatal("Attach or BeginWrite refused the attempt, want it permitted")
		}
		table.UpdateEndpoints(decide.Delta, []Endpoint{{ID: "a", State: decide.Draining}})
		table.Clock.Set(table.Clock.Now() + writeDelay)
		r.FirstLineWritten(0)
		if got := table.Violations.Count(guard.NoNewRequestAfterDrain); got != want {
			t.Errorf("write delayed by %v: got %d violations, want 1 only after DrainGrace", writeDelay, got)
		}
		if logged := strings.Contains(log.String(), "invariant violated"); logged != (want > 0) {
			t.Errorf("write delayed by %v: log is %q, want \"invariant violated\" only after DrainGrace",
				writeDelay, log)
		}
	}
}

func TestAnAnswerAfterItsTimeIsAViolation(t *testing.T) {
	for late, want := range map[time.Duration]uint64{
		guard.AnswerSlack:                    0,
		guard.AnswerSlack + time.Millisecond: 1,
	} {
		table, _ := newLoggingTable(decide.ClassInfo{})
		r := open(table, 0)
		table.Clock.Set(table.Clock.Now() + time.Second + late)
		table.failOverdue(r.ID)
		if got := table.Violations.Count(guard.AnswerInTime); got != want {
			t.Errorf("answered %v late: got %d violations, want 1 only after AnswerSlack", late, got)
		}
	}
}

// If the decision module rejects a request that may have been executed and must not be executed twice, the
// request is failed instead, and a violation is counted.
func TestRejectingARequestThatMayHaveRunIsAViolation(t *testing.T) {
	table, _ := newLoggingTable(decide.ClassInfo{Idempotency: decide.NonIdempotent})
	r := open(table, 0)
	startFirst(table, r, 0)
	r.Attach(0, &fakeSide{})
	r.BeginWrite(0)
	table.answer(r.ID, Answer{Kind: Rejected})
	if _, a := r.State(); a.Kind != Failed || table.Violations.Count(guard.RejectOnlyIfRetryHarmless) != 1 {
		t.Errorf("got answer %v and %d violations, want failed and 1",
			a.Kind, table.Violations.Count(guard.RejectOnlyIfRetryHarmless))
	}
}

// An attempt that is denied because the lease of the endpoint list has expired is counted, and reported to
// the decision module as superseded. The expiry of the lease is logged.
func TestAnAttemptByAnExpiredListIsDenied(t *testing.T) {
	table, log := newLoggingTable(decide.ClassInfo{})
	r := open(table, 0)
	startFirst(table, r, 0) // the lease is still disabled
	r.Attach(0, &fakeSide{})
	table.EnableEndpointLease(10 * time.Second) // expired until discovery confirms the list
	if r.BeginWrite(0) {
		t.Error("BeginWrite permitted an attempt on an expired lease, want it denied")
	}
	if got := table.Denials.Count(guard.ServerNotReady); got != 1 {
		t.Errorf("got %d denials with the reason ServerNotReady, want 1", got)
	}
	if !strings.Contains(log.String(), "endpoint list lease expired") {
		t.Errorf("log is %q, want the message \"endpoint list lease expired\"", log)
	}
	second := open(table, 0)
	table.takeInbox()
	startFirst(table, second, 0)
	events := table.takeInbox()
	if len(events) != 1 {
		t.Fatalf("got %d events for the decision module, want 1", len(events))
	}
	if o, ok := events[0].(decide.Outcome); !ok || o.Status != decide.Superseded || o.Closed {
		t.Errorf("got the event %+v, want an Outcome with Superseded and not Closed", events[0])
	}
}
