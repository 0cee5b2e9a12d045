package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// RequestTable is where the client side and the server side meet, and the guard of the rules: each request has
// one state machine, gets one final answer, and has at most one attempt out; a send is checked against
// the newest list just before its first byte. It is safe for use by many goroutines; nothing in it blocks.
type RequestTable struct {
	Clock *Clock
	// Tap gets a record of whatever happens; nil for none. It is set before the first use.
	Recorder *recorder.Recorder
	// Log gets what the guard denies, and what was done against a rule. It is set before the first use; the zero one writes nothing.
	Log zerolog.Logger
	// Violations and Denied count what was done against a rule, and what was not done for one.
	Violations guard.ViolationCounts
	Denials    guard.DenialCounts

	mu            sync.Mutex
	deployment    *Deployment
	endpoints     endpointList
	endpointLease guard.EndpointLease // of the list of servers; the zero one never lapses
	// lookedAt is when this process last looked at its list, wakesUntil until when it may read what came while it was stopped.
	checkedAt, ignoreReadsUntil float64
	leased                      bool // the list is held on a lease, by the platform's rules
	requests                    map[decide.RequestID]*Request
	requestsByName              map[string]*Request // the calls that have names
	lastID                      decide.RequestID
	arrived                     atomic.Uint64
	ejectedCount                atomic.Int64 // as of the last sweep
	inbox                       []decide.Event
	ready                       chan struct{} // holds one token while the inbox has something
	shuttingDown                bool          // at SIGTERM, for good
	drainedManually             bool          // by hand, until it is called off
	dialer                      ServerDialer
	counters                    requestCounters
}

// NewRequestTable returns an Exchange without calls.
func NewRequestTable(site *Deployment, clock *Clock, servers ServerDialer) *RequestTable {
	return &RequestTable{Clock: clock, deployment: site, dialer: servers, counters: newRequestCounters(len(site.Settings.Classes)),
		requests: map[decide.RequestID]*Request{}, requestsByName: map[string]*Request{},
		endpoints: endpointList{deployment: site, clock: clock, byID: map[string]*Server{}}, ready: make(chan struct{}, 1)}
}

// post queues an event for the module. The caller holds the lock.
func (t *RequestTable) post(ev decide.Event) {
	t.inbox = append(t.inbox, ev)
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// UpdateEndpoints takes news of the servers: at once for the check before a send, and in turn for the module.
func (t *RequestTable) UpdateEndpoints(kind decide.WatchKind, list []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.post(t.endpoints.apply(kind, list))
	if t.Recorder != nil {
		t.recordEndpointList(kind)
	}
	for _, r := range t.requests { // whoever has a connection to a server that drains now may want to know
		if r.attemptInFlight && r.serverConn != nil && r.attempt.currentServer().mode != decide.Ready {
			r.serverConn.Wake()
		}
	}
}

// Open takes on a request. A relay that is leaving refuses it at once, and one with the name of a request
// that stands fails: to its server it would be a second attempt at that.
func (t *RequestTable) Open(a OpenRequest, client ClientConn) *Request {
	t.mu.Lock()
	r := t.register(a, client)
	switch denial := guard.MayAccept(t.rejecting(), r.nameTaken()); {
	case denial == guard.NameTaken:
		r.recordDenial(denial, nil)
		r.answerFinally(Answer{Kind: Failed})
	case denial != guard.Allowed:
		r.recordDenial(denial, nil)
		r.answerFinally(t.applyRetryAfterSetting(t.shutdownRejection()))
	case a.Ownership != nil && a.Ownership.MustWait():
		r.state = AwaitingOwnership
	default:
		t.post(r.decisionRequest())
	}
	begin := a.Ownership != nil && r.state != Ended
	t.mu.Unlock()
	if begin {
		a.Ownership.Acquire(r)
	}
	return r
}

// shutdownRejection is the answer of a relay that is leaving: come again at once, to another.
func (t *RequestTable) shutdownRejection() Answer {
	return Answer{Kind: Rejected, RetryAfter: 50 + 100*rand.Float64(), decidedBy: recorder.Shutdown}
}

// Resume takes on a connection that was open at a server before this relay started. The module hears of it
// once it is up again.
func (t *RequestTable) Resume(a OpenRequest, server string, client ClientConn) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.register(a, client)
	r.resumed = true
	s := t.endpoints.byID[server]
	denial := guard.MayAccept(t.rejecting(), r.nameTaken())
	if denial == guard.Allowed {
		denial = guard.MayAttempt(t.Clock.Now(), r.guardFacts(r.state == Queued), s.guardStatus(), &t.endpointLease)
	}
	if denial != guard.Allowed {
		r.recordDenial(denial, s)
		r.answerFinally(Answer{Kind: Failed})
		return r
	}
	r.startAttempt(s, 0)
	return r
}

// applyRetryAfterSetting takes the time to come again out of an answer where clients are not told any.
func (t *RequestTable) applyRetryAfterSetting(a Answer) Answer {
	if !t.deployment.Settings.RetryAfter {
		a.RetryAfter = 0
	}
	return a
}

// register keeps a call from its arrival on.
func (t *RequestTable) register(a OpenRequest, client ClientConn) *Request {
	t.lastID++
	t.arrived.Add(1)
	r := &Request{OpenRequest: a, ID: t.lastID, table: t, clientConn: client, settled: make(chan struct{}),
		finished: make(chan struct{}), deadline: t.Clock.NowMillis() + a.Timeout}
	t.requests[r.ID] = r
	if a.Name != "" && t.requestsByName[a.Name] == nil {
		t.requestsByName[a.Name] = r
	}
	return r
}

// Server looks a server up by its id.
func (t *RequestTable) Server(id string) (Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints.byID[id]; s != nil {
		return *s, true
	}
	return Server{}, false
}

// ServerReady tells whether the newest list has a server ready for new connections.
func (t *RequestTable) ServerReady(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.endpoints.byID[id]
	return s != nil && s.mode == decide.Ready
}

// HasEndpointList tells whether the relay has a list of servers to go by: a whole one from discovery, or one with entries
// from its configuration.
func (t *RequestTable) HasEndpointList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.complete
}

// EverListed tells whether a server of that id has ever been in the list.
func (t *RequestTable) EverListed(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints.byID[id] != nil
}

// ServerIDs appends the ids of servers from number from on, in the order of their numbers.
func (t *RequestTable) ServerIDs(from int, out []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.endpoints.servers[min(from, len(t.endpoints.servers)):] {
		out = append(out, s.ID)
	}
	return out
}
