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
		t.Fatalf("%d attempts, %d probes", len(l.dialer.attempts), l.dialer.probes)
	}
	r.Attach(0, &fakeSide{})
	if !r.BeginWrite(0) || r.Establish(0) == nil {
		t.Fatal("the attempt may not go on")
	}
	l.advance(5 * time.Second)
	if state, _ := r.State(); state != Established {
		t.Fatalf("state %v", state)
	}
}

// A request that the decision module gives up on is answered at once, not near its deadline.
func TestARequestWithoutAServerIsRejectedAtOnce(t *testing.T) {
	l := newLoopTest(t)
	l.table.UpdateEndpoints(decide.Delta, []Endpoint{{ID: "a", State: decide.Removed}})
	r := open(l.table, 0)
	l.advance(10 * time.Millisecond)
	if state, a := r.State(); state != Ended || a.Kind != Rejected || len(l.dialer.attempts) != 0 {
		t.Fatalf("state %v, answer %+v, %d attempts", state, a, len(l.dialer.attempts))
	}
}

// An attempt whose end is never reported must not leave its client without an answer.
func TestTheBackstopAnswersByTheDeadline(t *testing.T) {
	l := newLoopTest(t)
	r := open(l.table, 0)
	l.advance(time.Second)
	if state, _ := r.State(); state == Ended {
		t.Fatal("answered too early")
	}
	l.advance(backstopDelay + 5*time.Millisecond)
	if state, a := r.State(); state != Ended || a.Kind != Failed {
		t.Fatalf("state %v, answer %+v", state, a)
	}
}

// A decision module that panics on one event goes on with the next.
func TestTheEventLoopContinuesAfterAPanic(t *testing.T) {
	l := newLoopTest(t)
	l.handle(l.clock.Now(), decide.Opened{Server: -1})
	r := open(l.table, 0)
	l.advance(20 * time.Millisecond)
	if state, _ := r.State(); state != Attempting {
		t.Fatalf("state %v", state)
	}
}

func TestTimersFireInOrder(t *testing.T) {
	var q timerQueue
	for i, at := range []time.Duration{3, 1, 2, 1} {
		q.set(timer{dueAt: at, token: uint64(i)})
	}
	if at, ok := q.nextAt(); !ok || at != 1 {
		t.Errorf("next at %v, %v", at, ok)
	}
	if _, ok := q.takeDue(0); ok {
		t.Error("a timer fires before its instant")
	}
	var fired []uint64
	for due, ok := q.takeDue(3); ok; due, ok = q.takeDue(3) {
		fired = append(fired, due.token)
	}
	if len(fired) != 4 || fired[0] != 1 || fired[1] != 3 || fired[2] != 2 || fired[3] != 0 {
		t.Errorf("fired %v", fired)
	}
	if _, ok := q.nextAt(); ok {
		t.Error("an empty queue has a next timer")
	}
}
