package relay

import (
	"testing"

	"capersail/decide"
)

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
