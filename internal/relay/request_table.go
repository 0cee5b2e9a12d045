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

// RequestTable is where the client side and the server side of a front meet. Each request has one state,
// gets one final answer and has at most one attempt in flight; an attempt is checked against the newest
// endpoint list just before its first byte. It is safe for use by many goroutines; nothing in it blocks.
type RequestTable struct {
	// Clock is the relay's clock.
	Clock *Clock
	// Recorder gets a record of whatever happens; nil for none. It is set before the first use.
	Recorder *recorder.Recorder
	// Log gets what the guard denies, and violated invariants. It is set before the first use; the zero one
	// writes nothing.
	Log zerolog.Logger
	// Violations counts what was done against an invariant.
	Violations guard.ViolationCounts
	// Denials counts what was not done, by what stood in the way.
	Denials guard.DenialCounts

	deployment *Deployment
	dialer     ServerDialer

	mu              sync.Mutex // guards all that follows, and every request
	requests        requestIndex
	endpoints       endpointList
	lease           endpointLeaseWatch
	counters        requestCounters
	inbox           inbox
	shuttingDown    bool // at SIGTERM, for good
	drainedManually bool // by an operator, until the drain is ended
}

// inbox is what the event loop has not taken yet.
type inbox struct {
	events []decide.Event
	ready  chan struct{} // holds one token while there are events
}

// requestIndex holds the requests that some side is not done with.
type requestIndex struct {
	byID   map[decide.RequestID]*Request
	byName map[string]*Request // the first of those of a name
	lastID decide.RequestID
}

// add gives a request its number and keeps it.
func (i *requestIndex) add(r *Request) {
	i.lastID++
	r.ID = i.lastID
	i.byID[r.ID] = r
	if r.Name != "" && i.byName[r.Name] == nil {
		i.byName[r.Name] = r
	}
}

// remove forgets a request; it is false if that was done before.
func (i *requestIndex) remove(r *Request) bool {
	if i.byID[r.ID] != r {
		return false
	}
	delete(i.byID, r.ID)
	if i.byName[r.Name] == r {
		delete(i.byName, r.Name)
	}
	return true
}

// NewRequestTable returns a table without requests, whose endpoint list is on no lease.
func NewRequestTable(deployment *Deployment, clock *Clock, dialer ServerDialer) *RequestTable {
	return &RequestTable{
		Clock:      clock,
		deployment: deployment,
		dialer:     dialer,
		inbox:      inbox{ready: make(chan struct{}, 1)},
		requests: requestIndex{
			byID:   map[decide.RequestID]*Request{},
			byName: map[string]*Request{},
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

// takeInbox returns the events that were queued and empties the queue.
func (t *RequestTable) takeInbox() []decide.Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.inbox.events
	t.inbox.events = nil
	return events
}

// Open takes on a request. A relay that shuts down or is drained rejects it at once, and one with the name of
// another open request fails: to its server it would be a second attempt at that.
func (t *RequestTable) Open(o RequestParams, client ClientConn) *Request {
	r, acquire := t.open(o, client)
	if acquire { // without the lock: the lease may answer at once
		o.Ownership.Acquire(r)
	}
	return r
}

// open takes on a request, and tells whether its ownership lease is to be acquired.
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

// Resume takes on a connection that was open at a server before this relay started. The decision module
// is notified once it is established again.
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

// register keeps a request from its arrival on. The caller holds the lock.
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

// A relay that shuts down or is drained has its clients retry soon, at another relay, and not all at once.
const (
	shutdownRetryAfter  = 50 * time.Millisecond
	shutdownRetrySpread = 100 * time.Millisecond
)

// shutdownRejection returns the answer of a relay that shuts down or is drained.
func (t *RequestTable) shutdownRejection() Answer {
	return Answer{
		Kind:       Rejected,
		RetryAfter: shutdownRetryAfter + DurationFromMillis(Millis(shutdownRetrySpread)*rand.Float64()),
		decidedBy:  recorder.Shutdown,
	}
}

// applyRetryAfterSetting takes the Retry-After out of an answer where Settings.RetryAfter is off.
func (t *RequestTable) applyRetryAfterSetting(a Answer) Answer {
	if !t.deployment.Settings.RetryAfter {
		a.RetryAfter = 0
	}
	return a
}
