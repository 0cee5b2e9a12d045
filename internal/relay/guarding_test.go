package relay

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
)

// newLoggingTable returns a table of one class with a server that is ready, and what it logs.
func newLoggingTable(class decide.ClassInfo) (*RequestTable, *strings.Builder) {
	table, _ := newTestTable(decide.Settings{}, class)
	log := &strings.Builder{}
	table.Log = zerolog.New(log).Level(zerolog.InfoLevel)
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a"))
	return table, log
}

// An operator greps for this line and alarms on the counter: a first line that was held up past the grace
// of a drain must not go unseen.
func TestALineWrittenAfterTheDrainGraceIsAViolation(t *testing.T) {
	for writeDelay, want := range map[time.Duration]uint64{
		guard.DrainGrace:                    0,
		guard.DrainGrace + time.Millisecond: 1,
	} {
		table, log := newLoggingTable(decide.ClassInfo{})
		r := open(table, 0)
		startFirst(table, r, 0)
		if !r.Attach(0, &fakeSide{}) || !r.BeginWrite(0) {
			t.Fatal("the attempt is not let go")
		}
		table.UpdateEndpoints(decide.Delta, []Endpoint{{ID: "a", State: decide.Draining}})
		table.Clock.Set(table.Clock.Now() + writeDelay)
		r.FirstLineWritten(0)
		if got := table.Violations.Count(guard.NoNewRequestAfterDrain); got != want {
			t.Errorf("held up for %v: %d violations", writeDelay, got)
		}
		if logged := strings.Contains(log.String(), "invariant violated"); logged != (want > 0) {
			t.Errorf("held up for %v: log %q", writeDelay, log)
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
			t.Errorf("answered %v late: %d violations", late, got)
		}
	}
}

// What may have run and must not run twice is failed where the decision module would reject it, and counted.
func TestRejectingARequestThatMayHaveRunIsAViolation(t *testing.T) {
	table, _ := newLoggingTable(decide.ClassInfo{Idempotency: decide.NonIdempotent})
	r := open(table, 0)
	startFirst(table, r, 0)
	r.Attach(0, &fakeSide{})
	r.BeginWrite(0)
	table.answer(r.ID, Answer{Kind: Rejected})
	if _, a := r.State(); a.Kind != Failed || table.Violations.Count(guard.RejectOnlyIfRetryHarmless) != 1 {
		t.Errorf("answer %v, %d violations", a.Kind, table.Violations.Count(guard.RejectOnlyIfRetryHarmless))
	}
}

// A denied attempt goes back to the decision module as superseded, is counted, and is logged where
// discovery is to blame.
func TestAnAttemptByAnExpiredListIsDenied(t *testing.T) {
	table, log := newLoggingTable(decide.ClassInfo{})
	r := open(table, 0)
	startFirst(table, r, 0) // by a list on no lease
	r.Attach(0, &fakeSide{})
	table.LeaseEndpointList(10 * time.Second) // not confirmed yet
	if r.BeginWrite(0) {
		t.Error("a byte is written by a list that was never confirmed")
	}
	if got := table.Denials.Count(guard.ServerNotReady); got != 1 {
		t.Errorf("%d denials", got)
	}
	if !strings.Contains(log.String(), "endpoint list lease expired") {
		t.Errorf("log %q", log)
	}
	second := open(table, 0)
	table.takeInbox()
	startFirst(table, second, 0)
	events := table.takeInbox()
	if len(events) != 1 {
		t.Fatalf("%d events", len(events))
	}
	if o, ok := events[0].(decide.Outcome); !ok || o.Status != decide.Superseded || o.Closed {
		t.Errorf("told %+v", events[0])
	}
}
