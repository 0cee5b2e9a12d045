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

// State is where a call stands.
type State uint8

// The states of a call. Held and Trying alternate, once for each attempt; Up and Ended are never left for
// an earlier one. Claiming comes before all others, and only for calls that go on.
const (
	Queued            State = iota // no attempt is out; the module has it
	Attempting                     // one attempt is out
	Established                    // it belongs to a server
	Ended                          // answered, or its client has left
	AwaitingOwnership              // a stream that goes on waits to be this relay's; the module does not know it yet
)

// CloseKind is how one side of a call ended, so that the other can be ended in the same way.
type CloseKind uint8

// The ways to end.
const (
	GracefulClose CloseKind = iota
	AbortiveClose
)

// AnswerKind is what a client is told that is not served.
type AnswerKind uint8

// The answers.
const (
	NoAnswer AnswerKind = iota // none, or the client left before it
	Rejected
	Failed
)

// Answer is the final answer to a call that never came up.
type Answer struct {
	Kind       AnswerKind
	RetryAfter float64 // with Refused, 0 for no advice
	Cause      decide.Status
	Note       string // with Failed, what the front may tell the client of the reason
	reason     decide.RejectReason
	decidedBy  recorder.Initiator
}

// OwnershipLease is a call's right to be served by this relay, where a stream may be at one relay only. Its methods
// must not block.
type OwnershipLease interface {
	// Wait tells whether the call is to wait for the claim.
	MustWait() bool
	// Begin asks for it. It ends in Claimed or Unclaimed where the call waits; later Lapse may follow.
	Acquire(c *Request)
	// Release gives it back: neither side has anything to do with the call any more.
	Release()
}

// OpenRequest is what a client wants, in the module's numbers.
type OpenRequest struct {
	Name      string // by which servers know the request, "" if they do not
	Class     decide.Class
	Tenant    decide.Tenant
	Key       uint64
	Group     uint64
	Hint      float64
	Timeout   float64 // milliseconds that the client will wait
	Returned  bool
	Ownership OwnershipLease // nil for none
	Payload   any            // what the front's two sides share; nothing here looks at it
}

// ClientConn is the client side's end of a call. Pass and Close are called by the server side only, once
// the call is up. Wake must not block; it says that the call's state has changed. Pending, which must not block either,
// tells whether the client's end has come, or what spoils the call, that the client side has had no time to read yet.
type ClientConn interface {
	Forward(p []byte) error
	Close(how CloseKind)
	Wake()
	HasUnread() bool
}

// ServerConn is the server side's end of an attempt. Close and Wake must not block. Wake says that the call is
// to be moved, that its server has begun to drain, or that the client side has left something for it.
type ServerConn interface {
	Forward(p []byte) error
	Close(how CloseKind)
	Wake()
}

// Attempt is one wanted send.
type Attempt struct {
	Number         int
	Server         Server
	StartedAt      float64
	Deadline       float64 // when the relay stops waiting
	ClientDeadline float64 // when the client does
}

// ServerDialer is the server side as the core sees it. Neither method may block.
type ServerDialer interface {
	StartAttempt(c *Request, a Attempt)
	Probe(s Server, done func(status decide.Status, report decide.LoadReport))
}

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

// Request is one request. Its fields are the Exchange's; both sides use its methods.
type Request struct {
	OpenRequest
	ID decide.RequestID

	table      *RequestTable
	clientConn ClientConn
	state      State
	settled    chan struct{} // closed once the call is up or ended
	finished   chan struct{} // closed once both sides are done with it
	answer     Answer
	deadline   float64
	resumed    bool // it was open at its server before this relay started

	attempt         Attempt
	attempts        int
	attemptInFlight bool    // an attempt is out: its end has not been told
	mayHaveWritten  bool    // its first byte may have been written
	mayHaveRun      bool    // some attempt ended without proof that it never ran
	wroteAt         float64 // when the latest attempt's first byte was let go
	mayHaveRunAt    float64 // the same of the first attempt that may have run
	mayHaveRunOn    guard.Location
	canceled        bool
	migrating       bool
	serverSilent    bool
	ownershipLost   bool // its claim may be lost
	serverClosed    bool // its server has ended the connection, before the client did
	wasEstablished  bool
	serverConn      ServerConn
	unansweredSince float64 // when the oldest line went to the server that nothing came back for, 0 if none
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

// currentServer finds the server of an attempt as the newest list has it. The roster never drops one.
func (a *Attempt) currentServer() *Server { return a.Server.current }

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

// nameTaken tells whether another call has the name.
func (c *Request) nameTaken() bool { return c.Name != "" && c.table.requestsByName[c.Name] != c }

func (c *Request) decisionRequest() decide.Request {
	left := c.Timeout
	if c.Ownership != nil { // the wait for the claim is over, and the client's patience has gone on
		left = max(0, c.deadline-c.table.Clock.NowMillis())
	}
	return decide.Request{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, TimeLeft: Duration(left), LoadHint: c.Hint,
		Group: c.Group, Returning: c.Returned}
}

// startAttempt starts an attempt. The caller holds the lock.
func (c *Request) startAttempt(s *Server, timeout float64) {
	now := c.table.Clock.NowMillis()
	if c.attemptInFlight {
		c.recordViolation(guard.NoDuplicateAttempt, s)
	}
	until := c.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	c.attempt = Attempt{Number: c.attempts, Server: *s, StartedAt: now, Deadline: until, ClientDeadline: c.deadline}
	c.attempt.Server.current = s
	c.state, c.attemptInFlight, c.mayHaveWritten, c.canceled, c.serverConn = Attempting, true, false, false, nil
	c.attempts++
	c.table.dialer.StartAttempt(c, c.attempt)
}

// answerFinally gives a call that is not up its final answer, once. The caller holds the lock.
func (c *Request) answerFinally(a Answer) {
	if guard.MayAnswer(c.state == Ended, c.state == Established) != guard.Allowed {
		return
	}
	if a.Kind != NoAnswer && c.table.Clock.NowMillis() > c.deadline+Millis(guard.AnswerSlack) {
		c.recordViolation(guard.AnswerInTime, nil)
	}
	if a.Cause == decide.OK { // then what the last attempt met
		a.Cause = c.answer.Cause
	}
	c.state, c.answer = Ended, a
	close(c.settled)
	c.table.counters.countAnswer(c.Class, a.Kind)
	if c.table.Recorder != nil {
		c.recordAnswer(a)
	}
	if c.attemptInFlight && c.serverConn != nil {
		c.serverConn.Close(GracefulClose)
	}
	c.removeIfDone()
	c.clientConn.Wake()
}

// removeIfDone forgets a call that is over on both sides.
func (c *Request) removeIfDone() {
	if c.state == Ended && !c.attemptInFlight && c.table.requests[c.ID] == c {
		delete(c.table.requests, c.ID)
		if !c.nameTaken() {
			delete(c.table.requestsByName, c.Name)
		}
		close(c.finished)
		if c.Ownership != nil { // and never before: an attempt that is out holds the claim
			c.Ownership.Release()
		}
	}
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
