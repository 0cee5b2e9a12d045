package relay

import (
	"testing"

	"github.com/rs/zerolog"

	"capersail/decide"
)

type noList struct{ watches int }

func (n *noList) Watch() { n.watches++ }
func (n *noList) Fetch() {}

// bench is a core on a clock that stands still.
func bench(t *testing.T) (*EventLoop, *side, *Clock) {
	t.Helper()
	clock, wire := NewManualClock(), &side{}
	site := &Deployment{Settings: decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, RetryAfter: true, MustSubscribe: true,
		MaxRetryAfter: Duration(1000), Tick: Duration(5),
		Classes: []decide.ClassInfo{{LatencyObjective: Duration(300), Deadline: Duration(1000), MessageLatencyObjective: Duration(50)}}}}
	x := NewRequestTable(site, clock, wire)
	x.UpdateEndpoints(decide.Cached, []Endpoint{{ID: "a", Address: "127.0.0.1:1", Mode: decide.Ready}})
	c := NewEventLoop(x, 7, &noList{}, zerolog.Nop())
	c.Step()
	return c, wire, clock
}

// advance lets time pass in ticks.
func advance(c *EventLoop, clock *Clock, ms float64) {
	for end := clock.NowMillis() + ms; clock.NowMillis() < end; {
		clock.SetMillis(clock.NowMillis() + 5)
		c.Step()
	}
}

func TestCorePlacesAfterAProbe(t *testing.T) {
	c, wire, clock := bench(t)
	client := &side{}
	call := c.table.Open(OpenRequest{Timeout: 1000}, client)
	advance(c, clock, 20)
	if len(wire.tries) != 1 || wire.probes != 1 {
		t.Fatalf("%d tries, %d probes", len(wire.tries), wire.probes)
	}
	call.Attach(0, &side{})
	if !call.BeginWrite(0) || call.Establish(0) == nil {
		t.Fatal("the attempt may not go on")
	}
	advance(c, clock, 5000)
	if state, _ := call.State(); state != Established {
		t.Fatalf("state %v", state)
	}
}

// A request the module gave up on is answered at once, with a time to come again, not near its deadline.
func TestCoreRefusesAtOnce(t *testing.T) {
	c, wire, clock := bench(t)
	c.table.UpdateEndpoints(decide.Delta, []Endpoint{{ID: "a", Mode: decide.Removed}})
	call := c.table.Open(OpenRequest{Timeout: 1000}, &side{})
	advance(c, clock, 10)
	if state, a := call.State(); state != Ended || a.Kind != Rejected || len(wire.tries) != 0 {
		t.Fatalf("state %v, answer %+v, %d tries", state, a, len(wire.tries))
	}
}

// The backstop: an attempt whose end is never told must not leave its client without an answer.
func TestCoreAnswersByTheDeadline(t *testing.T) {
	c, _, clock := bench(t)
	call := c.table.Open(OpenRequest{Timeout: 1000}, &side{})
	advance(c, clock, 1000)
	if state, _ := call.State(); state == Ended {
		t.Fatal("answered too early")
	}
	advance(c, clock, backstopDelay+5)
	if state, a := call.State(); state != Ended || a.Kind != Failed {
		t.Fatalf("state %v, answer %+v", state, a)
	}
}

// A module that panics on one event goes on with the next.
func TestCoreOutlivesAPanic(t *testing.T) {
	c, _, clock := bench(t)
	c.handle(clock.NowMillis(), decide.Opened{Server: -1})
	call := c.table.Open(OpenRequest{Timeout: 1000}, &side{})
	advance(c, clock, 20)
	if state, _ := call.State(); state != Attempting {
		t.Fatalf("state %v", state)
	}
}

// A line that nothing comes back for tells of a silent server; at 7 s the connection would be lost.
func TestCoreMovesOffASilentServer(t *testing.T) {
	c, _, clock := bench(t)
	call := c.table.Open(OpenRequest{Timeout: 1000}, &side{})
	advance(c, clock, 20)
	remote := &side{}
	call.Attach(0, remote)
	call.BeginWrite(0)
	call.Establish(0)
	for range 3 { // lines that come back at once
		call.LineSent()
		advance(c, clock, 5)
		call.LineReceived()
		advance(c, clock, 2000)
	}
	if moving, _ := call.Migrating(); moving {
		t.Fatal("moved off a sound server")
	}
	call.LineSent()
	advance(c, clock, silentAfter+sweepInterval+5)
	if moving, silent := call.Migrating(); !moving || !silent || remote.woken == 0 {
		t.Fatalf("moving %v, silent %v, woken %d times", moving, silent, remote.woken)
	}
}
