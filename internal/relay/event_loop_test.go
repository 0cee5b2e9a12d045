package relay

import (
	"testing"
	"time"

	"capersail/decide"
)

func TestARequestIsPlacedAfterAProbe(t *testing.T) {
	l := newLoopTest(t)
	r := open(l.table, 0)
	l.advance(20 * time.Millisecond)
	if len(l.dialer.attempts) != 1 || l.dialer.probes != 1 {
		t.Fatalf("got %d attempts and %d probes, want 1 and 1", len(l.dialer.attempts), l.dialer.probes)
	}
	r.Attach(0, &fakeSide{})
	if !r.BeginWrite(0) || r.Establish(0) == nil {
		t.Fatal("BeginWrite or Establish refused the attempt, want it established")
	}
	l.advance(5 * time.Second)
	if state, _ := r.State(); state != Established {
		t.Fatalf("got state %v, want established", state)
	}
}

// The client of a request for which there is no server is answered at once, not only near its deadline.
func TestARequestWithoutAServerIsRejectedAtOnce(t *testing.T) {
	l := newLoopTest(t)
	l.table.UpdateEndpoints(decide.Delta, []Endpoint{{ID: "a", State: decide.Removed}})
	r := open(l.table, 0)
	l.advance(10 * time.Millisecond)
	if state, a := r.State(); state != Ended || a.Kind != Rejected || len(l.dialer.attempts) != 0 {
		t.Fatalf("got state %v, answer %+v, %d attempts; want ended, rejected, 0 attempts",
			state, a, len(l.dialer.attempts))
	}
}

// The backstop answers a request whose attempt is never reported as ended. It does so backstopDelay after the
// deadline, when the decision module has not answered.
func TestTheBackstopAnswersByTheDeadline(t *testing.T) {
	l := newLoopTest(t)
	r := open(l.table, 0)
	l.advance(time.Second)
	if state, _ := r.State(); state == Ended {
		t.Fatal("request ended by its deadline, want it unanswered until the backstop")
	}
	l.advance(backstopDelay + 5*time.Millisecond)
	if state, a := r.State(); state != Ended || a.Kind != Failed {
		t.Fatalf("got state %v, answer %+v; want ended, failed", state, a)
	}
}

// After a panic of the decision module on one event, the event loop still handles the next events.
func TestTheEventLoopContinuesAfterAPanic(t *testing.T) {
	l := newLoopTest(t)
	l.handle(l.clock.Now(), decide.Opened{Server: -1})
	r := open(l.table, 0)
	l.advance(20 * time.Millisecond)
	if state, _ := r.State(); state != Attempting {
		t.Fatalf("got state %v, want attempting", state)
	}
}

func TestTimersFireInOrder(t *testing.T) {
	var q timerQueue
	for i, at := range []time.Duration{3, 1, 2, 1} {
		q.set(timer{dueAt: at, token: uint64(i)})
	}
	if at, ok := q.nextAt(); !ok || at != 1 {
		t.Errorf("nextAt() = %v, %v; want 1ns, true", at, ok)
	}
	if _, ok := q.takeDue(0); ok {
		t.Error("takeDue(0) returned a timer, want none before the instant 1")
	}
	var fired []uint64
	for due, ok := q.takeDue(3); ok; due, ok = q.takeDue(3) {
		fired = append(fired, due.token)
	}
	if len(fired) != 4 || fired[0] != 1 || fired[1] != 3 || fired[2] != 2 || fired[3] != 0 {
		t.Errorf("timers fired in the order %v, want [1 3 2 0]", fired)
	}
	if _, ok := q.nextAt(); ok {
		t.Error("nextAt() of an empty queue returned a timer, want none")
	}
}
