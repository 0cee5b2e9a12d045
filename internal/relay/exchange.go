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
	Held     State = iota // no attempt is out; the module has it
	Trying                // one attempt is out
	Up                    // it belongs to a server
	Ended                 // answered, or its client has left
	Claiming              // a stream that goes on waits to be this relay's; the module does not know it yet
)

// Ending is how one side of a call ended, so that the other can be ended in the same way.
type Ending uint8

// The ways to end.
const (
	Clean Ending = iota
	Broken
)

// AnswerKind is what a client is told that is not served.
type AnswerKind uint8

// The answers.
const (
	NoAnswer AnswerKind = iota // none, or the client left before it
	Refused
	Failed
)

// Answer is the final answer to a call that never came up.
type Answer struct {
	Kind       AnswerKind
	RetryAfter float64 // with Refused, 0 for no advice
	Cause      decide.Status
	Note       string // with Failed, what the front may tell the client of the reason
	why        decide.Why
	by         recorder.By
}

// Claim is a call's right to be served by this relay, where a stream may be at one relay only. Its methods
// must not block.
type Claim interface {
	// Wait tells whether the call is to wait for the claim.
	Wait() bool
	// Begin asks for it. It ends in Claimed or Unclaimed where the call waits; later Lapse may follow.
	Begin(c *Call)
	// Release gives it back: neither side has anything to do with the call any more.
	Release()
}

// Ask is what a client wants, in the module's numbers.
type Ask struct {
	Name     string // by which servers know the request, "" if they do not
	Class    decide.Class
	Tenant   decide.Tenant
	Key      uint64
	Group    uint64
	Hint     float64
	Left     float64 // milliseconds that the client will wait
	Returned bool
	Claim    Claim // nil for none
	Payload  any   // what the front's two sides share; nothing here looks at it
}

// Client is the client side's end of a call. Pass and Close are called by the server side only, once
// the call is up. Wake must not block; it says that the call's state has changed. Pending, which must not block either,
// tells whether the client's end has come, or what spoils the call, that the client side has had no time to read yet.
type Client interface {
	Pass(p []byte) error
	Close(how Ending)
	Wake()
	Pending() bool
}

// Remote is the server side's end of an attempt. Close and Wake must not block. Wake says that the call is
// to be moved, that its server has begun to drain, or that the client side has left something for it.
type Remote interface {
	Pass(p []byte) error
	Close(how Ending)
	Wake()
}

// Attempt is one wanted send.
type Attempt struct {
	No     int
	Server Server
	SentAt float64
	Until  float64 // when the relay stops waiting
	Last   float64 // when the client does
}

// Servers is the server side as the core sees it. Neither method may block.
type Servers interface {
	Try(c *Call, a Attempt)
	Probe(s Server, done func(status decide.Status, report decide.Report))
}

// Exchange is where the client side and the server side meet, and the guard of the rules: each request has
// one state machine, gets one final answer, and has at most one attempt out; a send is checked against
// the newest list just before its first byte. It is safe for use by many goroutines; nothing in it blocks.
type Exchange struct {
	Clock *Clock
	// Tap gets a record of whatever happens; nil for none. It is set before the first use.
	Tap *recorder.Tap
	// Log gets what the guard denies, and what was done against a rule. It is set before the first use; the zero one writes nothing.
	Log zerolog.Logger
	// Violations and Denied count what was done against a rule, and what was not done for one.
	Violations guard.Violations
	Denied     guard.Denied

	mu     sync.Mutex
	site   *Site
	roster roster
	list   guard.ListLease // of the list of servers; the zero one never lapses
	// lookedAt is when this process last looked at its list, wakesUntil until when it may read what came while it was stopped.
	lookedAt, wakesUntil float64
	leased               bool // the list is held on a lease, by the platform's rules
	calls                map[decide.RequestID]*Call
	names                map[string]*Call // the calls that have names
	lastID               decide.RequestID
	arrived              atomic.Uint64
	shunned              atomic.Int64 // as of the last sweep
	inbox                []decide.Event
	ready                chan struct{} // holds one token while the inbox has something
	leaving              bool          // at SIGTERM, for good
	draining             bool          // by hand, until it is called off
	servers              Servers
	figures              figures
}

// Call is one request. Its fields are the Exchange's; both sides use its methods.
type Call struct {
	Ask
	ID decide.RequestID

	x        *Exchange
	client   Client
	state    State
	settled  chan struct{} // closed once the call is up or ended
	finished chan struct{} // closed once both sides are done with it
	answer   Answer
	deadline float64
	resumed  bool // it was open at its server before this relay started

	attempt  Attempt
	sends    int
	out      bool    // an attempt is out: its end has not been told
	begun    bool    // its first byte may have been written
	mayRun   bool    // some attempt ended without proof that it never ran
	began    float64 // when the latest attempt's first byte was let go
	ranAt    float64 // the same of the first attempt that may have run
	ranOn    guard.Place
	canceled bool
	moving   bool
	silent   bool
	lapsed   bool // its claim may be lost
	broken   bool // its server has ended the connection, before the client did
	wasUp    bool
	remote   Remote
	asked    float64 // when the oldest line went to the server that nothing came back for, 0 if none
}

// NewExchange returns an Exchange without calls.
func NewExchange(site *Site, clock *Clock, servers Servers) *Exchange {
	return &Exchange{Clock: clock, site: site, servers: servers, figures: newFigures(len(site.Settings.Classes)),
		calls: map[decide.RequestID]*Call{}, names: map[string]*Call{},
		roster: roster{site: site, clock: clock, byID: map[string]*Server{}}, ready: make(chan struct{}, 1)}
}

// post queues an event for the module. The caller holds the lock.
func (x *Exchange) post(ev decide.Event) {
	x.inbox = append(x.inbox, ev)
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// Members takes news of the servers: at once for the check before a send, and in turn for the module.
func (x *Exchange) Members(kind decide.ListKind, list []Listed) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.post(x.roster.take(kind, list))
	if x.Tap != nil {
		x.tapList(kind)
	}
	for _, c := range x.calls { // whoever has a connection to a server that drains now may want to know
		if c.out && c.remote != nil && c.attempt.listed().mode != decide.Ready {
			c.remote.Wake()
		}
	}
}

// listed finds the server of an attempt as the newest list has it. The roster never drops one.
func (a *Attempt) listed() *Server { return a.Server.now }

// Open takes on a request. A relay that is leaving refuses it at once, and one with the name of a request
// that stands fails: to its server it would be a second attempt at that.
func (x *Exchange) Open(a Ask, client Client) *Call {
	x.mu.Lock()
	c := x.enter(a, client)
	switch denial := guard.MayStart(x.refusing(), c.double()); {
	case denial == guard.NameTaken:
		c.deny(denial, nil)
		c.end(Answer{Kind: Failed})
	case denial != guard.Allowed:
		c.deny(denial, nil)
		c.end(x.advised(x.elsewhere()))
	case a.Claim != nil && a.Claim.Wait():
		c.state = Claiming
	default:
		x.post(c.request())
	}
	begin := a.Claim != nil && c.state != Ended
	x.mu.Unlock()
	if begin {
		a.Claim.Begin(c)
	}
	return c
}

// elsewhere is the answer of a relay that is leaving: come again at once, to another.
func (x *Exchange) elsewhere() Answer {
	return Answer{Kind: Refused, RetryAfter: 50 + 100*rand.Float64(), by: recorder.Leaving}
}

// Resume takes on a connection that was open at a server before this relay started. The module hears of it
// once it is up again.
func (x *Exchange) Resume(a Ask, server string, client Client) *Call {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.enter(a, client)
	c.resumed = true
	s := x.roster.byID[server]
	denial := guard.MayStart(x.refusing(), c.double())
	if denial == guard.Allowed {
		denial = guard.MayTry(x.Clock.Now(), c.guarded(c.state == Held), s.target(), &x.list)
	}
	if denial != guard.Allowed {
		c.deny(denial, s)
		c.end(Answer{Kind: Failed})
		return c
	}
	c.try(s, 0)
	return c
}

// advised takes the time to come again out of an answer where clients are not told any.
func (x *Exchange) advised(a Answer) Answer {
	if !x.site.Settings.RetryAfter {
		a.RetryAfter = 0
	}
	return a
}

// enter keeps a call from its arrival on.
func (x *Exchange) enter(a Ask, client Client) *Call {
	x.lastID++
	x.arrived.Add(1)
	c := &Call{Ask: a, ID: x.lastID, x: x, client: client, settled: make(chan struct{}),
		finished: make(chan struct{}), deadline: x.Clock.Now() + a.Left}
	x.calls[c.ID] = c
	if a.Name != "" && x.names[a.Name] == nil {
		x.names[a.Name] = c
	}
	return c
}

// double tells whether another call has the name.
func (c *Call) double() bool { return c.Name != "" && c.x.names[c.Name] != c }

func (c *Call) request() decide.Request {
	left := c.Left
	if c.Claim != nil { // the wait for the claim is over, and the client's patience has gone on
		left = max(0, c.deadline-c.x.Clock.Now())
	}
	return decide.Request{ID: c.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Left: Duration(left), Hint: c.Hint,
		Group: c.Group, Returned: c.Returned}
}

// try starts an attempt. The caller holds the lock.
func (c *Call) try(s *Server, timeout float64) {
	now := c.x.Clock.Now()
	if c.out {
		c.violated(guard.Duplicate, s)
	}
	until := c.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	c.attempt = Attempt{No: c.sends, Server: *s, SentAt: now, Until: until, Last: c.deadline}
	c.attempt.Server.now = s
	c.state, c.out, c.begun, c.canceled, c.remote = Trying, true, false, false, nil
	c.sends++
	c.x.servers.Try(c, c.attempt)
}

// end gives a call that is not up its final answer, once. The caller holds the lock.
func (c *Call) end(a Answer) {
	if guard.MayAnswer(c.state == Ended, c.state == Up) != guard.Allowed {
		return
	}
	if a.Kind != NoAnswer && c.x.Clock.Now() > c.deadline+guard.AnswerSlack {
		c.violated(guard.Late, nil)
	}
	if a.Cause == decide.OK { // then what the last attempt met
		a.Cause = c.answer.Cause
	}
	c.state, c.answer = Ended, a
	close(c.settled)
	c.x.figures.count(c.Class, a.Kind)
	if c.x.Tap != nil {
		c.tapAnswer(a)
	}
	if c.out && c.remote != nil {
		c.remote.Close(Clean)
	}
	c.drop()
	c.client.Wake()
}

// drop forgets a call that is over on both sides.
func (c *Call) drop() {
	if c.state == Ended && !c.out && c.x.calls[c.ID] == c {
		delete(c.x.calls, c.ID)
		if !c.double() {
			delete(c.x.names, c.Name)
		}
		close(c.finished)
		if c.Claim != nil { // and never before: an attempt that is out holds the claim
			c.Claim.Release()
		}
	}
}

// Server looks a server up by its id.
func (x *Exchange) Server(id string) (Server, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := x.roster.byID[id]; s != nil {
		return *s, true
	}
	return Server{}, false
}

// Listed tells whether the newest list has a server ready for new connections.
func (x *Exchange) Listed(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.roster.byID[id]
	return s != nil && s.mode == decide.Ready
}
