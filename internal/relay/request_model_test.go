package relay

import (
	"testing"
	"time"

	"capersail/decide"
)

// requestModel is the expected state of a request, as plain values without locks and channels. Its client
// waits for 1 s.
type requestModel struct {
	request       *Request
	client        *fakeSide
	lease         *fakeLease    // nil for none
	name          string        // "" for none, or if another request has the name
	retainedUntil time.Duration // when a request that may have run gives up its name, 0 before its end
	nonIdempotent bool
	deadline      time.Duration

	state     State
	answer    AnswerKind
	attempts  int
	mayRun    bool
	migrating bool
	outcomes  int // upper limit of the outcomes that the decision module is notified of

	// The fields below describe the latest attempt.
	server          int
	attemptDeadline time.Duration
	inFlight        bool
	attached        bool
	canceled        bool
	writeBegun      bool
}

// The settings by which the model's classes retain names.
const (
	modelDeadline    = 300 * time.Millisecond // of the first class
	modelDedupWindow = 500 * time.Millisecond // of the second class
)

// retain starts the time for which the name of a request that may have run is retained.
func (m *requestModel) retain(now time.Duration) {
	if !m.done() || !m.mayRun || m.retainedUntil != 0 {
		return
	}
	m.retainedUntil = now + modelDeadline
	if m.nonIdempotent {
		m.retainedUntil = now + modelDedupWindow
	}
}

// done reports whether both sides have finished with the request.
func (m *requestModel) done() bool { return m.state == Ended && !m.inFlight }

// inSetUp reports whether the latest attempt is wanted and not established.
func (m *requestModel) inSetUp() bool { return m.state == Attempting && !m.canceled }

// answered reports whether the request is established or has ended, and so needs no answer.
func (m *requestModel) answered() bool { return m.state == Established || m.state == Ended }

// mayReject reports whether a retry of the request is harmless, as a rejection promises.
func (m *requestModel) mayReject() bool {
	return !m.nonIdempotent || !m.mayRun && !(m.inFlight && m.writeBegun)
}

// giveFinalAnswer ends the request with an answer, unless the request needs none.
func (m *requestModel) giveFinalAnswer(kind AnswerKind) {
	if !m.answered() {
		m.state, m.answer = Ended, kind
	}
}

// modelTest applies steps both to a table and to the models of its requests. There are two servers and two
// classes, of which the second is not idempotent.
type modelTest struct {
	*testing.T
	table        *RequestTable
	clock        *Clock
	dialer       *fakeSide
	serverStates [2]decide.EndpointState
	models       map[int]*requestModel
	shuttingDown bool
}

// modelSteps are the possible steps. The index of a step is its number in the fuzz input.
var modelSteps = [...]func(w *modelTest, m *requestModel, who, arg int){
	0:  (*modelTest).open,
	1:  (*modelTest).startAttempt,
	2:  (*modelTest).attach,
	3:  (*modelTest).beginWrite,
	4:  (*modelTest).establish,
	5:  (*modelTest).endAttempt,
	6:  (*modelTest).closeClient,
	7:  (*modelTest).migrate,
	8:  (*modelTest).decisionAnswers,
	9:  (*modelTest).listServers,
	10: (*modelTest).passTime,
	11: (*modelTest).cancelAttempt,
	12: (*modelTest).backstopFails,
	13: (*modelTest).beginShutdown,
	14: (*modelTest).failOnClientError,
	15: (*modelTest).migrateClient,
	16: (*modelTest).acquireOwnership,
	17: (*modelTest).denyOwnership,
	18: (*modelTest).loseOwnership,
	19: (*modelTest).failByServer,
	20: (*modelTest).receiveUnread,
}

// needsNoRequest reports whether a step concerns no existing request.
func needsNoRequest(step int) bool { return step == 0 || step == 9 || step == 10 || step == 13 }

func (w *modelTest) open(m *requestModel, who, arg int) {
	if m != nil {
		return
	}
	m = &requestModel{
		client:        &fakeSide{},
		deadline:      w.clock.Now() + time.Second,
		name:          []string{"", "a", "b"}[arg%3],
		nonIdempotent: who%2 == 1,
	}
	nameTaken := false
	for _, other := range w.models {
		nameTaken = nameTaken || m.name != "" && other.name == m.name &&
			(!other.done() || w.clock.Now() < other.retainedUntil)
	}
	o := RequestParams{Name: m.name, Class: decide.Class(who % 2), Timeout: time.Second}
	if arg >= 128 {
		m.lease, m.state = &fakeLease{}, AwaitingOwnership
		o.Ownership = m.lease
	}
	m.request = w.table.Open(o, m.client)
	w.models[who] = m
	switch {
	case nameTaken:
		m.state, m.answer, m.name = Ended, Failed, ""
	case w.shuttingDown:
		m.state, m.answer = Ended, Rejected
	}
}

func (w *modelTest) startAttempt(m *requestModel, _, arg int) {
	before, timeout := len(w.dialer.attempts), time.Duration(arg)*time.Millisecond
	forward := decide.Forward{ID: m.request.ID, Server: decide.ServerID(arg % 2), Timeout: timeout}
	w.table.startAttempt(forward, nil)
	ready := w.serverStates[arg%2] == decide.Ready
	allowed := m.state == Queued && !m.inFlight && ready && m.attempts < 3 && !(m.mayRun && m.nonIdempotent)
	if allowed != (len(w.dialer.attempts) == before+1) {
		w.Fatalf("startAttempt with the model %+v: attempt started is %v, want the opposite", m, !allowed)
	}
	if !allowed {
		return
	}
	m.state, m.server = Attempting, arg%2
	m.inFlight, m.attached, m.canceled, m.writeBegun = true, false, false, false
	m.attempts++
	m.attemptDeadline = m.deadline
	if arg != 0 {
		m.attemptDeadline = min(m.deadline, w.clock.Now()+timeout)
	}
}

func (w *modelTest) attach(m *requestModel, _, _ int) {
	if got := m.request.Attach(m.attempts-1, &fakeSide{}); got != m.inSetUp() {
		w.Fatalf("Attach with the model %+v: got %v, want the opposite", m, got)
	}
	m.attached = m.attached || m.inSetUp()
}

func (w *modelTest) beginWrite(m *requestModel, _, _ int) {
	inTime := w.clock.Now() < m.attemptDeadline
	want := m.inSetUp() && w.serverStates[m.server] == decide.Ready && inTime && !m.client.hasUnread
	if got := m.request.BeginWrite(m.attempts - 1); got != want {
		w.Fatalf("BeginWrite with the model %+v: got %v, want the opposite", m, got)
	}
	m.writeBegun = m.writeBegun || want
}

func (w *modelTest) establish(m *requestModel, _, _ int) {
	if !m.attached && m.inSetUp() { // the server side never calls Establish before Attach
		return
	}
	if got := m.request.Establish(m.attempts-1) != nil; got != m.inSetUp() {
		w.Fatalf("Establish with the model %+v: got a client connection %v, want the opposite", m, got)
	}
	if m.inSetUp() {
		m.state, m.migrating = Established, w.shuttingDown
	}
}

func (w *modelTest) endAttempt(m *requestModel, _, arg int) {
	status := decide.Status(arg % 8)
	m.request.EndAttempt(m.attempts-1, status, decide.NoLoadReport)
	if !m.inFlight {
		return
	}
	m.inFlight = false
	m.outcomes++
	m.mayRun = m.mayRun || !status.NeverRan()
	switch m.state {
	case Attempting:
		m.state = Queued
	case Established:
		m.state = Ended
	}
}

func (w *modelTest) closeClient(m *requestModel, _, arg int) {
	m.request.ClientClosed(CloseKind(arg % 2))
	m.state = Ended
}

func (w *modelTest) receiveUnread(m *requestModel, _, _ int) { m.client.hasUnread = true }

func (w *modelTest) migrate(m *requestModel, _, _ int) {
	w.table.migrate(m.request.ID)
	m.migrating = m.migrating || m.state == Established
}

func (w *modelTest) migrateClient(m *requestModel, _, _ int) {
	m.request.MigrateClient()
	m.migrating = m.migrating || m.state == Established
}

func (w *modelTest) decisionAnswers(m *requestModel, _, arg int) {
	kind := Rejected + AnswerKind(arg%2)
	w.table.answer(m.request.ID, Answer{Kind: kind})
	if kind == Rejected && !m.mayReject() {
		kind = Failed
	}
	m.giveFinalAnswer(kind)
}

func (w *modelTest) backstopFails(m *requestModel, _, _ int) {
	w.table.failOverdue(m.request.ID)
	m.giveFinalAnswer(Failed)
}

func (w *modelTest) listServers(_ *requestModel, who, arg int) {
	w.serverStates[who%2] = decide.EndpointState(arg % 3)
	w.updateEndpoints()
}

func (w *modelTest) updateEndpoints() {
	list := []Endpoint{{ID: "a", State: w.serverStates[0]}, {ID: "b", State: w.serverStates[1]}}
	w.table.UpdateEndpoints(decide.Snapshot, list)
}

func (w *modelTest) passTime(_ *requestModel, _, arg int) {
	w.clock.Set(w.clock.Now() + time.Duration(arg*4)*time.Millisecond)
}

func (w *modelTest) cancelAttempt(m *requestModel, _, _ int) {
	w.table.cancelAttempt(m.request.ID, m.attempts-1)
	m.canceled = m.canceled || m.state == Attempting
}

func (w *modelTest) beginShutdown(_ *requestModel, _, _ int) {
	w.table.BeginShutdown()
	w.shuttingDown = true
}

func (w *modelTest) failOnClientError(m *requestModel, _, _ int) {
	if got := m.request.FailOnClientError(); got != !m.answered() {
		w.Fatalf("FailOnClientError with the model %+v: got %v, want the opposite", m, got)
	}
	m.giveFinalAnswer(Failed)
}

func (w *modelTest) failByServer(m *requestModel, _, _ int) {
	m.request.FailByServer(m.attempts-1, "no")
	if m.state == Attempting {
		m.giveFinalAnswer(Failed)
	}
}

func (w *modelTest) acquireOwnership(m *requestModel, _, _ int) {
	want := m.state == AwaitingOwnership && !w.shuttingDown
	if got := m.request.OwnershipAcquired(); got != want {
		w.Fatalf("OwnershipAcquired with the model %+v: got %v, want the opposite", m, got)
	}
	switch {
	case want:
		m.state = Queued
	case m.state == AwaitingOwnership:
		m.giveFinalAnswer(Rejected)
	}
}

func (w *modelTest) denyOwnership(m *requestModel, _, _ int) {
	m.request.OwnershipDenied(Answer{Kind: Failed})
	if m.state == AwaitingOwnership {
		m.giveFinalAnswer(Failed)
	}
}

func (w *modelTest) loseOwnership(m *requestModel, _, _ int) {
	m.request.OwnershipLost(100 * time.Millisecond)
	m.migrating = m.migrating || m.state == Established
	kind := Rejected
	if !m.mayReject() {
		kind = Failed
	}
	m.giveFinalAnswer(kind)
}

// check compares every request with its model, and counts the outcomes that the decision module was notified
// of.
func (w *modelTest) check(step int) {
	outcomes := map[decide.RequestID]int{}
	for _, ev := range w.table.inbox.events {
		if o, ok := ev.(decide.Outcome); ok && o.Status != decide.Superseded {
			outcomes[o.ID]++
		}
	}
	for who, m := range w.models {
		m.retain(w.clock.Now())
		r := m.request
		state, answer := r.State()
		if state != m.state || answer.Kind != m.answer || r.lastAttempt.inFlight != m.inFlight {
			w.Fatalf("after step %d: request %d has state %v, answer %+v, in flight %v; want the model %+v",
				step, who, state, answer, r.lastAttempt.inFlight, m)
		}
		if l := m.lease; l != nil && ((l.released == 1) != m.done() || l.released > l.acquired+1) {
			w.Fatalf("request %d in state %v: lease acquired %d, released %d times, want 1 at the end",
				who, m.state, l.acquired, l.released)
		}
		if m.state == AwaitingOwnership && m.inFlight {
			w.Fatalf("request %d has an attempt in flight before its lease is acquired, want none", who)
		}
		if migrating, _ := r.Migrating(); migrating != m.migrating {
			w.Fatalf("request %d: migrating is %v, want the opposite", who, migrating)
		}
		if m.answered() != isClosed(r.EstablishedOrEnded()) {
			w.Fatalf("request %d in state %v: EstablishedOrEnded() does not match", who, m.state)
		}
		if outcomes[r.ID] > m.outcomes {
			w.Fatalf("request %d: got %d outcomes, want at most %d", who, outcomes[r.ID], m.outcomes)
		}
		if _, ok := w.table.requests.byID[r.ID]; ok == m.done() || isClosed(r.BothSidesDone()) != m.done() {
			w.Fatalf("request %d in state %v: in the table %v, want it removed once both sides are done",
				who, m.state, ok)
		}
	}
}

// requestSeeds is the seed corpus of FuzzRequestsAgainstModel. Each step takes three bytes: the number of the
// step, the number of the request, and the argument.
var requestSeeds = []struct {
	name  string
	steps []byte
}{
	{"established, migrated, ended",
		[]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 4, 0, 0, 7, 0, 0, 5, 0, 0}},
	{"the server drains during the dial",
		[]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 9, 0, 1, 3, 0, 0, 5, 0, 7, 1, 0, 1, 2, 0, 0}},
	{"the client leaves during set-up",
		[]byte{0, 0, 0, 1, 0, 0, 6, 0, 0, 5, 0, 0, 8, 0, 1, 8, 0, 0}},
	{"not idempotent, connection lost: no second attempt",
		[]byte{0, 1, 1, 1, 1, 0, 2, 1, 0, 3, 1, 0, 5, 1, 3, 1, 1, 1, 8, 1, 1}},
	{"canceled, overdue, shutdown",
		[]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 11, 0, 0, 3, 0, 0, 5, 0, 0, 10, 0, 9, 12, 0, 0, 13, 0, 0, 0, 2, 0}},
	{"name taken, request fails, name free again",
		[]byte{0, 0, 1, 1, 0, 0, 0, 1, 1, 14, 0, 0, 0, 2, 1, 5, 0, 0, 0, 3, 1}},
	{"request may have run, name taken, name free again",
		[]byte{0, 0, 1, 1, 0, 0, 2, 0, 0, 3, 0, 0, 6, 0, 0, 5, 0, 0, 0, 1, 1, 10, 0, 90, 0, 2, 1}},
	{"client error after it is established",
		[]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 4, 0, 0, 14, 0, 0, 15, 0, 0, 5, 0, 0}},
	{"client closed, not read yet",
		[]byte{0, 0, 0, 1, 0, 0, 2, 0, 0, 20, 0, 0, 3, 0, 0, 5, 0, 7, 1, 0, 1, 2, 0, 0, 3, 0, 0}},
	{"ownership acquired, established, lost",
		[]byte{0, 0, 128, 1, 0, 0, 16, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 4, 0, 0, 18, 0, 0, 5, 0, 0}},
	{"client left, ownership denied, shutdown",
		[]byte{0, 0, 128, 6, 0, 0, 16, 0, 0, 0, 1, 128, 17, 1, 0, 0, 2, 128, 13, 0, 0, 16, 2, 0}},
	{"ownership lost while the request may run",
		[]byte{0, 1, 129, 16, 1, 0, 1, 1, 0, 2, 1, 0, 3, 1, 0, 18, 1, 0, 4, 1, 0, 5, 1, 3}},
	{"failed by the server",
		[]byte{0, 0, 128, 16, 0, 0, 1, 0, 0, 2, 0, 0, 3, 0, 0, 19, 0, 0, 5, 0, 6}},
	{"no attempt at a draining server", []byte("\x8700*00+000")},
	{"rejection of a request that may have run fails it", []byte("*10+10B10210")},
}

// FuzzRequestsAgainstModel applies random steps to a few requests and compares each request with its model.
// It checks that a request gets one final answer and never has two attempts in flight, that nothing is
// written to a draining server, and that the decision module gets one outcome for each attempt.
func FuzzRequestsAgainstModel(f *testing.F) {
	for _, seed := range requestSeeds {
		f.Add(seed.steps)
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		first := decide.ClassInfo{Deadline: modelDeadline}
		second := decide.ClassInfo{Idempotency: decide.NonIdempotent, DedupWindow: modelDedupWindow}
		table, dialer := newTestTable(decide.Settings{MaxAttempts: 3}, first, second)
		w := &modelTest{
			T:            t,
			table:        table,
			clock:        table.Clock,
			dialer:       dialer,
			serverStates: [2]decide.EndpointState{decide.Ready, decide.Ready},
			models:       map[int]*requestModel{},
		}
		w.updateEndpoints()
		for ; len(input) >= 3; input = input[3:] {
			step, who, arg := int(input[0])%len(modelSteps), int(input[1]%4), int(input[2])
			m := w.models[who]
			if m == nil && !needsNoRequest(step) {
				continue
			}
			modelSteps[step](w, m, who, arg)
			w.check(step)
		}
	})
}
