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
func (x *RequestTable) post(ev decide.Event) {
	x.inbox = append(x.inbox, ev)
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// UpdateEndpoints takes news of the servers: at once for the check before a send, and in turn for the module.
func (x *RequestTable) UpdateEndpoints(kind decide.WatchKind, list []Endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.post(x.endpoints.apply(kind, list))
	if x.Recorder != nil {
		x.recordEndpointList(kind)
	}
	for _, c := range x.requests { // whoever has a connection to a server that drains now may want to know
		if c.attemptInFlight && c.serverConn != nil && c.attempt.currentServer().mode != decide.Ready {
			c.serverConn.Wake()
		}
	}
}

// Open takes on a request. A relay that is leaving refuses it at once, and one with the name of a request
// that stands fails: to its server it would be a second attempt at that.
func (x *RequestTable) Open(a OpenRequest, client ClientConn) *Request {
	x.mu.Lock()
	c := x.register(a, client)
	switch denial := guard.MayAccept(x.rejecting(), c.nameTaken()); {
	case denial == guard.NameTaken:
		c.recordDenial(denial, nil)
		c.answerFinally(Answer{Kind: Failed})
	case denial != guard.Allowed:
		c.recordDenial(denial, nil)
		c.answerFinally(x.applyRetryAfterSetting(x.shutdownRejection()))
	case a.Ownership != nil && a.Ownership.MustWait():
		c.state = AwaitingOwnership
	default:
		x.post(c.decisionRequest())
	}
	begin := a.Ownership != nil && c.state != Ended
	x.mu.Unlock()
	if begin {
		a.Ownership.Acquire(c)
	}
	return c
}

// shutdownRejection is the answer of a relay that is leaving: come again at once, to another.
func (x *RequestTable) shutdownRejection() Answer {
	return Answer{Kind: Rejected, RetryAfter: 50 + 100*rand.Float64(), decidedBy: recorder.Shutdown}
}

// Resume takes on a connection that was open at a server before this relay started. The module hears of it
// once it is up again.
func (x *RequestTable) Resume(a OpenRequest, server string, client ClientConn) *Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.register(a, client)
	c.resumed = true
	s := x.endpoints.byID[server]
	denial := guard.MayAccept(x.rejecting(), c.nameTaken())
	if denial == guard.Allowed {
		denial = guard.MayAttempt(x.Clock.Now(), c.guardFacts(c.state == Queued), s.guardStatus(), &x.endpointLease)
	}
	if denial != guard.Allowed {
		c.recordDenial(denial, s)
		c.answerFinally(Answer{Kind: Failed})
		return c
	}
	c.startAttempt(s, 0)
	return c
}

// applyRetryAfterSetting takes the time to come again out of an answer where clients are not told any.
func (x *RequestTable) applyRetryAfterSetting(a Answer) Answer {
	if !x.deployment.Settings.RetryAfter {
		a.RetryAfter = 0
	}
	return a
}

// register keeps a call from its arrival on.
func (x *RequestTable) register(a OpenRequest, client ClientConn) *Request {
	x.lastID++
	x.arrived.Add(1)
	c := &Request{OpenRequest: a, ID: x.lastID, table: x, clientConn: client, settled: make(chan struct{}),
		finished: make(chan struct{}), deadline: x.Clock.NowMillis() + a.Timeout}
	x.requests[c.ID] = c
	if a.Name != "" && x.requestsByName[a.Name] == nil {
		x.requestsByName[a.Name] = c
	}
	return c
}

// Server looks a server up by its id.
func (x *RequestTable) Server(id string) (Server, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.endpoints.byID[id]; s != nil {
		return *s, true
	}
	return Server{}, false
}

// ServerReady tells whether the newest list has a server ready for new connections.
func (x *RequestTable) ServerReady(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.endpoints.byID[id]
	return s != nil && s.mode == decide.Ready
}

// HasEndpointList tells whether the relay has a list of servers to go by: a whole one from discovery, or one with entries
// from its configuration.
func (x *RequestTable) HasEndpointList() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endpoints.complete
}

// EverListed tells whether a server of that id has ever been in the list.
func (x *RequestTable) EverListed(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endpoints.byID[id] != nil
}

// ServerIDs appends the ids of servers from number from on, in the order of their numbers.
func (x *RequestTable) ServerIDs(from int, out []string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.endpoints.servers[min(from, len(x.endpoints.servers)):] {
		out = append(out, s.ID)
	}
	return out
}
