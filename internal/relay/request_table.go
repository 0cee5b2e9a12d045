package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// RequestTable holds the requests of a front and connects its client side with its server side. Each request
// has one state, gets one final answer, and has at most one attempt in flight. An attempt is checked against
// the newest endpoint list immediately before its first byte is written. A RequestTable is safe for
// concurrent use, and its methods do not block.
type RequestTable struct {
	// Clock is the relay's clock.
	Clock *Clock
	// Recorder receives a record of each event of a request, a server or a probe. It may be nil, and must be
	// set before the first use.
	Recorder *recorder.Recorder
	// Log receives messages about denials, violated invariants and the endpoint lease. It must be set before
	// the first use; the zero Logger writes nothing.
	Log zerolog.Logger
	// Violations counts violated invariants.
	Violations guard.ViolationCounts
	// Denials counts denied actions, by reason.
	Denials guard.DenialCounts

	deployment *Deployment
	dialer     ServerDialer

	mu              sync.Mutex // guards the fields below, and every request
	requests        requestIndex
	endpoints       endpointList
	lease           endpointLeaseWatch
	counters        requestCounters
	inbox           inbox
	shuttingDown    bool // a graceful shutdown has begun; never reset
	drainedManually bool // an operator is draining the relay
}

// inbox is the queue of events for the event loop.
type inbox struct {
	events []decide.Event
	ready  chan struct{} // holds one token while there are events
}

// requestIndex contains the requests that at least one side has not finished with.
type requestIndex struct {
	byID   map[decide.RequestID]*Request
	names  requestNames
	lastID decide.RequestID
}

// add assigns an ID to a request and adds it to the index.
func (i *requestIndex) add(r *Request) {
	i.lastID++
	r.ID = i.lastID
	i.byID[r.ID] = r
	i.names.take(r, r.table.Clock.Now())
}

// remove removes a request from the index. It returns false if the request was removed before.
func (i *requestIndex) remove(r *Request) bool {
	if i.byID[r.ID] != r {
		return false
	}
	delete(i.byID, r.ID)
	i.names.giveUp(r, r.retainNameUntil())
	return true
}

// NewRequestTable returns a table without requests. The lease of its endpoint list is disabled until
// EnableEndpointLease is called.
func NewRequestTable(deployment *Deployment, clock *Clock, dialer ServerDialer) *RequestTable {
	return &RequestTable{
		Clock:      clock,
		deployment: deployment,
		dialer:     dialer,
		inbox:      inbox{ready: make(chan struct{}, 1)},
		requests: requestIndex{
			byID:  map[decide.RequestID]*Request{},
			names: requestNames{inUse: map[string]*Request{}},
		},
		endpoints: endpointList{deployment: deployment, clock: clock, byID: map[string]*Server{}},
		counters:  requestCounters{byClass: make([]ClassCounts, len(deployment.Settings.Classes))},
	}
}

// post queues an event for the decision module. The caller holds the lock.
func (t *RequestTable) post(ev decide.Event) {
	t.inbox.events = append(t.inbox.events, ev)
	select {
	case t.inbox.ready <- struct{}{}:
	default:
	}
}

// takeInbox returns the queued events and empties the queue.
func (t *RequestTable) takeInbox() []decide.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.inbox.events
	t.inbox.events = nil
	return events
}

// Open opens a request. It rejects the request at once if the relay is shutting down or being drained. It
// fails a request with the name of another one that is open, or may have run a short time ago, because a
// server would take it for a second attempt of that one.
func (t *RequestTable) Open(o RequestParams, client ClientConn) *Request {
	r, acquire := t.open(o, client)
	if acquire { // without the lock, because the lease may answer at once
		o.Ownership.Acquire(r)
	}
	return r
}

// open opens a request, and reports whether its ownership lease has to be acquired.
func (t *RequestTable) open(o RequestParams, client ClientConn) (r *Request, acquire bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r = t.register(o, client)
	switch denial := guard.MayAccept(t.rejecting(), r.nameTaken()); {
	case denial == guard.NameTaken:
		r.recordDenial(denial, nil)
		r.setFinalAnswer(Answer{Kind: Failed})
	case denial != guard.Allowed:
		r.recordDenial(denial, nil)
		r.setFinalAnswer(t.applyRetryAfterSetting(t.shutdownRejection()))
	case o.Ownership != nil && o.Ownership.MustWait():
		r.state = AwaitingOwnership
	default:
		t.post(r.decisionRequest())
	}
	return r, o.Ownership != nil && r.state != Ended
}

// Resume opens a request for a connection that was open at a server before this relay started. The decision
// module is notified when the connection is established again.
func (t *RequestTable) Resume(o RequestParams, server string, client ClientConn) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.register(o, client)
	r.resumed = true
	s := t.endpoints.byID[server]
	denial := guard.MayAccept(t.rejecting(), r.nameTaken())
	if denial == guard.Allowed {
		denial = r.mayAttempt(s)
	}
	if denial != guard.Allowed {
		r.recordDenial(denial, s)
		r.setFinalAnswer(Answer{Kind: Failed})
		return r
	}
	r.startAttempt(s, 0)
	return r
}

// register creates a request and adds it to the table. The caller holds the lock.
func (t *RequestTable) register(o RequestParams, client ClientConn) *Request {
	t.counters.arrivals.Add(1)
	r := &Request{
		RequestParams:      o,
		table:              t,
		clientConn:         client,
		deadline:           addSaturating(t.Clock.Now(), o.Timeout),
		establishedOrEnded: make(chan struct{}),
		bothSidesDone:      make(chan struct{}),
	}
	t.requests.add(r)
	return r
}

// A relay that is shutting down or being drained makes its clients retry soon, at another relay. The random
// spread prevents that all clients retry at the same time.
const (
	shutdownRetryAfter  = 50 * time.Millisecond
	shutdownRetrySpread = 100 * time.Millisecond
)

// shutdownRejection returns the answer to new requests while the relay is shutting down or being drained.
func (t *RequestTable) shutdownRejection() Answer {
	return Answer{
		Kind:       Rejected,
		RetryAfter: shutdownRetryAfter + DurationFromMillis(Millis(shutdownRetrySpread)*rand.Float64()),
		decidedBy:  recorder.Shutdown,
	}
}

// applyRetryAfterSetting removes the Retry-After from an answer if Settings.RetryAfter is off.
func (t *RequestTable) applyRetryAfterSetting(a Answer) Answer {
	if !t.deployment.Settings.RetryAfter {
		a.RetryAfter = 0
	}
	return a
}
