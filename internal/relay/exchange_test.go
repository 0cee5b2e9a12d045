package relay

import (
	"testing"

	"github.com/rs/zerolog"

	"capersail/decide"
)

// side stands for both wires: it notes what the Exchange asks of it.
type side struct {
	tries  []Attempt
	probes int
	closed int
	woken  int
	gone   bool // the client's end has come, and nobody has read it
}

func (s *side) StartAttempt(_ *Request, a Attempt) { s.tries = append(s.tries, a) }
func (s *side) Probe(_ Server, done func(decide.Status, decide.LoadReport)) {
	s.probes++
	done(decide.OK, decide.LoadReport{Load: 0.1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1})
}
func (s *side) Forward([]byte) error { return nil }
func (s *side) Close(CloseKind)      { s.closed++ }
func (s *side) Wake()                { s.woken++ }
func (s *side) HasUnread() bool      { return s.gone }

// model is what a request's state machine is meant to be: plain values, no locks, no channels.
type model struct {
	call     *Request
	client   *side
	state    State
	answer   AnswerKind
	sends    int
	out      bool
	attached bool
	canceled bool
	mayRun   bool
	moving   bool
	to       int
	deadline float64
	until    float64
	outcomes int
	name     string
	begun    bool
	claim    *claimed
}

// claimed stands for what may give a call its claim.
type claimed struct{ begun, released int }

func (c *claimed) MustWait() bool   { return true }
func (c *claimed) Acquire(*Request) { c.begun++ }
func (c *claimed) Release()         { c.released++ }

// over tells whether neither side has anything to do with the request any more.
func (m *model) over() bool { return m.state == Ended && !m.out }

// FuzzExchange plays random steps to a few requests and checks every one against the model: one final
// answer, never two attempts out, nothing written to a server that drains, one outcome for each attempt.
func FuzzExchange(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 4, 0, 0, 7, 0, 0, 5, 0, 0})          // up, moved, over
	f.Add([]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 9, 0, 1, 3, 0, 0, 5, 0, 7, 1, 0, 1, 2, 0, 0}) // drains during the dial
	f.Add([]byte{0, 0, 0, 1, 0, 0, 6, 0, 0, 5, 0, 0, 8, 0, 1, 8, 0, 0})                   // client leaves mid-set-up
	f.Add([]byte{0, 1, 1, 1, 1, 0, 2, 1, 0, 3, 1, 0, 5, 1, 3, 1, 1, 1, 8, 1, 1})          // unsafe and lost: no second send
	f.Add([]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 11, 0, 0, 3, 0, 0, 5, 0, 0, 10, 0, 9, 12, 0, 0, 13, 0, 0, 0, 2, 0})
	f.Add([]byte{0, 0, 1, 1, 0, 0, 0, 1, 1, 14, 0, 0, 0, 2, 1, 5, 0, 0, 0, 3, 1}) // a name that stands, is spoilt, is free
	f.Add([]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 4, 0, 0, 14, 0, 0, 15, 0, 0, 5, 0, 0})
	f.Add([]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 20, 0, 0, 3, 0, 0, 5, 0, 7, 1, 0, 1, 2, 0, 0, 3, 0, 0})    // its client has gone, unread
	f.Add([]byte{0, 0, 128, 1, 0, 0, 16, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 4, 0, 0, 18, 0, 0, 5, 0, 0}) // claimed, up, lapsed
	f.Add([]byte{0, 0, 128, 6, 0, 0, 16, 0, 0, 0, 1, 128, 17, 1, 0, 0, 2, 128, 13, 0, 0, 16, 2, 0})    // left, refused, leaving
	f.Add([]byte{0, 1, 129, 16, 1, 0, 1, 1, 0, 2, 1, 0, 3, 1, 0, 18, 1, 0, 4, 1, 0, 5, 1, 3})          // lapsed while it may run
	f.Add([]byte{0, 0, 128, 16, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 19, 0, 0, 5, 0, 6})                   // the server's no
	f.Fuzz(func(t *testing.T, steps []byte) {
		clock, wire := NewManualClock(), &side{}
		site := &Deployment{Settings: decide.Settings{MaxAttempts: 3, Classes: []decide.ClassInfo{{}, {Idempotency: decide.NonIdempotent}}}}
		x := NewRequestTable(site, clock, wire)
		modes := []decide.EndpointState{decide.Ready, decide.Ready}
		list := func() {
			x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "a", Mode: modes[0]}, {ID: "b", Mode: modes[1]}})
		}
		list()
		calls := map[int]*model{}
		leaving := false
		for ; len(steps) >= 3; steps = steps[3:] {
			op, who, arg := steps[0]%21, int(steps[1]%4), int(steps[2])
			m, now := calls[who], clock.NowMillis()
			if m == nil && op != 0 && op != 9 && op != 10 && op != 13 {
				continue
			}
			live := m != nil && m.state == Attempting && !m.canceled
			switch op {
			case 0:
				if m == nil {
					m = &model{client: &side{}, deadline: now + 1000, name: []string{"", "a", "b"}[arg%3]}
					double := false
					for _, o := range calls {
						double = double || m.name != "" && o.name == m.name && !o.over()
					}
					ask := OpenRequest{Name: m.name, Class: decide.Class(who % 2), Timeout: 1000}
					if arg >= 128 {
						m.claim, m.state = &claimed{}, AwaitingOwnership
						ask.Ownership = m.claim
					}
					m.call = x.Open(ask, m.client)
					if calls[who] = m; double {
						m.state, m.answer, m.name = Ended, Failed, ""
					} else if leaving {
						m.state, m.answer = Ended, Rejected
					}
				}
			case 1:
				tries := len(wire.tries)
				x.startAttempt(m.call.ID, decide.ServerID(arg%2), float64(arg), nil)
				allowed := m.state == Queued && !m.out && m.sends < 3 && !(m.mayRun && who%2 == 1)
				if allowed != (len(wire.tries) == tries+1) {
					t.Fatalf("send in %+v: tried %v", m, !allowed)
				}
				if allowed {
					m.state, m.out, m.attached, m.canceled, m.begun, m.to = Attempting, true, false, false, false, arg%2
					m.sends++
					if m.until = m.deadline; arg != 0 {
						m.until = min(m.until, now+float64(arg))
					}
				}
			case 2:
				if got := m.call.Attach(m.sends-1, &side{}); got != live {
					t.Fatalf("attach in %+v: %v", m, got)
				}
				m.attached = m.attached || live
			case 3:
				if got, want := m.call.BeginWrite(m.sends-1), live && modes[m.to] == decide.Ready && now < m.until && !m.client.gone; got != want {
					t.Fatalf("begin in %+v: %v", m, got)
				} else {
					m.begun = m.begun || want
				}
			case 4:
				if !m.attached && live { // no side says up before it has attached
					continue
				}
				if got := m.call.Establish(m.sends-1) != nil; got != live {
					t.Fatalf("up in %+v: %v", m, got)
				}
				if live {
					m.state, m.moving = Established, leaving
				}
			case 5:
				m.call.EndAttempt(m.sends-1, decide.Status(arg%8), decide.NoLoadReport)
				if m.out {
					m.outcomes++
					m.out = false
					status := decide.Status(arg % 8)
					m.mayRun = m.mayRun || !status.NeverRan()
					switch m.state {
					case Attempting:
						m.state = Queued
					case Established:
						m.state = Ended
					}
				}
			case 6:
				m.call.ClientClosed(CloseKind(arg % 2))
				m.state = Ended
			case 7:
				x.migrate(m.call.ID)
				m.moving = m.moving || m.state == Established
			case 8, 12:
				kind := Rejected + AnswerKind(arg%2)
				if op == 12 {
					kind = Failed
					x.failOverdue(m.call.ID)
				} else {
					x.answer(m.call.ID, Answer{Kind: kind})
				}
				if m.state != Established && m.state != Ended {
					m.state, m.answer = Ended, kind
				}
			case 9:
				modes[who%2] = decide.EndpointState(arg % 3)
				list()
			case 10:
				clock.SetMillis(now + float64(arg*4))
			case 11:
				x.cancelAttempt(m.call.ID, m.sends-1)
				m.canceled = m.canceled || m.state == Attempting
			case 13:
				x.BeginShutdown()
				leaving = true
			case 14:
				want := m.state != Established && m.state != Ended
				if got := m.call.FailOnClientError(); got != want {
					t.Fatalf("spoil in %+v: %v", m, got)
				}
				if want {
					m.state, m.answer = Ended, Failed
				}
			case 15:
				m.call.MigrateClient()
				m.moving = m.moving || m.state == Established
			case 16:
				want := m.state == AwaitingOwnership && !leaving
				if got := m.call.OwnershipAcquired(); got != want {
					t.Fatalf("claimed in %+v: %v", m, got)
				}
				if want {
					m.state = Queued
				} else if m.state == AwaitingOwnership {
					m.state, m.answer = Ended, Rejected
				}
			case 17:
				if m.call.OwnershipDenied(Answer{Kind: Failed}); m.state == AwaitingOwnership {
					m.state, m.answer = Ended, Failed
				}
			case 18:
				m.call.LoseOwnership(100)
				m.moving = m.moving || m.state == Established
				if m.state != Established && m.state != Ended {
					if m.answer = Rejected; who%2 == 1 && (m.mayRun || m.out && m.begun) {
						m.answer = Failed
					}
					m.state = Ended
				}
			case 20:
				m.client.gone = true
			case 19:
				if m.call.FailByServer(m.sends-1, "no"); m.state == Attempting {
					m.state, m.answer = Ended, Failed
				}
			}
			outcomes := map[decide.RequestID]int{}
			for _, ev := range x.inbox {
				if o, ok := ev.(decide.Outcome); ok && o.Status != decide.Superseded {
					outcomes[o.ID]++
				}
			}
			for who, m := range calls {
				state, answer := m.call.State()
				if state != m.state || answer.Kind != m.answer || m.call.attemptInFlight != m.out {
					t.Fatalf("after step %d: request %d is %v %+v, out %v; want %+v", op, who, state, answer, m.call.attemptInFlight, m)
				}
				if c := m.claim; c != nil && (c.released == 1) != m.over() || c != nil && c.released > c.begun+1 {
					t.Fatalf("request %d in %v: claim asked for %d times, released %d times", who, m.state, c.begun, c.released)
				}
				if m.state == AwaitingOwnership && m.out {
					t.Fatalf("request %d has an attempt out before its claim is won", who)
				}
				if moving, _ := m.call.Migrating(); moving != m.moving {
					t.Fatalf("request %d: moving %v", who, moving)
				}
				if (m.state == Established || m.state == Ended) != isClosed(m.call.Settled()) {
					t.Fatalf("request %d in %v: settled is wrong", who, m.state)
				}
				if outcomes[m.call.ID] > m.outcomes {
					t.Fatalf("request %d: %d outcomes told of %d", who, outcomes[m.call.ID], m.outcomes)
				}
				if _, kept := x.requests[m.call.ID]; kept == m.over() || isClosed(m.call.Finished()) != m.over() {
					t.Fatalf("request %d in %v is kept: %v", who, m.state, kept)
				}
			}
		}
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

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

// What starts before this program did is told on the module's clock, and long ago stays long ago.
func TestClock(t *testing.T) {
	c := NewManualClock()
	now := float64(c.origin.UnixMilli())
	if got := c.FromUnixMillis(now - 250); got != clockStart-250 {
		t.Errorf("started 250 ms ago: %v", got)
	}
	if got := c.FromUnixMillis(0); got != 0 {
		t.Errorf("long ago: %v", got)
	}
	if got := Duration(1.2346); got != 1235000 {
		t.Errorf("1.2346 ms: %v", got)
	}
}

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
