package memory

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/tap"
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
	by         tap.By
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
	Tap *tap.Tap
	// Log gets what the guard denies, and what was done against a rule. It is set before the first use; the zero one writes nothing.
	Log zerolog.Logger
	// Violations and Denied count what was done against a rule, and what was not done for one.
	Violations guard.Violations
	Denied     guard.Denied

	mu       sync.Mutex
	site     *Site
	roster   roster
	list     guard.ListLease // of the list of servers; the zero one never lapses
	calls    map[decide.RequestID]*Call
	names    map[string]*Call // the calls that have names
	lastID   decide.RequestID
	arrived  atomic.Uint64
	shunned  atomic.Int64 // as of the last sweep
	inbox    []decide.Event
	ready    chan struct{} // holds one token while the inbox has something
	leaving  bool          // at SIGTERM, for good
	draining bool          // by hand, until it is called off
	servers  Servers
	figures  figures
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
	x.post(x.roster.take(kind, list, x.list.LastHeard()))
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
	return Answer{Kind: Refused, RetryAfter: 50 + 100*rand.Float64(), by: tap.Leaving}
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

// The claim's methods.

// Claimed says that the stream is this relay's: the call goes to the module, as any that comes back. It is
// false if it waits for that no more.
func (c *Call) Claimed() bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	switch {
	case c.state != Claiming:
		return false
	case guard.MayStart(c.x.refusing(), false) != guard.Allowed:
		c.end(c.x.advised(c.x.elsewhere()))
		return false
	}
	c.state = Held
	c.x.post(c.request())
	return true
}

// Unclaimed says that it is not.
func (c *Call) Unclaimed(a Answer) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state == Claiming {
		c.end(c.x.advised(a))
	}
}

// advised takes the time to come again out of an answer where clients are not told any.
func (x *Exchange) advised(a Answer) Answer {
	if !x.site.Settings.RetryAfter {
		a.RetryAfter = 0
	}
	return a
}

// Lapse says that the claim may be lost: the call is ended politely, and nothing goes out for it any more.
func (c *Call) Lapse(after float64) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.lapsed = true
	switch c.state {
	case Held, Trying:
		a := Answer{Kind: Refused, RetryAfter: after}
		if guard.MayRefuse(c.guarded(true)) != guard.Allowed {
			a = Answer{Kind: Failed}
		}
		c.x.post(decide.Gone{ID: c.ID})
		c.end(c.x.advised(a))
	case Claiming:
		c.end(c.x.advised(Answer{Kind: Refused, RetryAfter: after}))
	case Up:
		c.move(tap.Claim)
	}
}

// send does what the module wants: one more attempt. What the rules forbid is never sent.
func (x *Exchange) send(id decide.RequestID, to decide.Backend, timeout float64, pool []decide.View) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.calls[id]
	if denial := x.mayTry(c, to); denial != guard.Allowed {
		x.post(decide.Outcome{ID: id, Backend: to, Status: decide.Moot, Closed: c == nil || c.state != Held, Report: decide.NoReport})
		return
	}
	c.try(x.roster.servers[to], timeout)
	if x.Tap != nil {
		c.tapPlace(pool)
	}
}

// mayTry tells whether an attempt of a call that the module wants may be started. The caller holds the lock.
func (x *Exchange) mayTry(c *Call, to decide.Backend) guard.Denial {
	if c == nil {
		return guard.NotWaiting
	}
	var s *Server
	if to >= 0 && int(to) < len(x.roster.servers) {
		s = x.roster.servers[to]
	}
	denial := guard.MayTry(x.Clock.Now(), c.guarded(c.state == Held), s.target(), &x.list)
	if denial != guard.Allowed {
		c.deny(denial, s)
	}
	return denial
}

// finish gives a request the module's final answer. It comes too late for one that is up or ended.
func (x *Exchange) finish(id decide.RequestID, a Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.calls[id]
	if c == nil || guard.MayAnswer(c.state == Ended, c.state == Up) != guard.Allowed {
		return
	}
	if a.Kind == Refused && guard.MayRefuse(c.guarded(true)) != guard.Allowed {
		c.violated(guard.Promise, nil)
		a.Kind = Failed
	}
	if a.why != decide.NoReason && a.why <= decide.NotAgain {
		x.figures.refusals[a.why]++
	}
	c.end(a)
}

// overdue is the backstop behind the module: a request that has no answer well after its deadline fails.
func (x *Exchange) overdue(id decide.RequestID) (late bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.calls[id]
	if c == nil || c.state == Up || c.state == Ended {
		return false
	}
	x.post(decide.Gone{ID: id})
	c.end(Answer{Kind: Failed, Cause: decide.TimedOut, by: tap.Late})
	return true
}

// move asks the server side to send a client away politely.
func (x *Exchange) move(id decide.RequestID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.calls[id]; c != nil {
		c.move(tap.Module)
	}
}

func (c *Call) move(by tap.By) {
	if c.state == Up && !c.moving {
		c.moving = true
		if c.x.Tap != nil {
			c.x.Tap.Put(&tap.Record{At: c.x.Clock.Now(), Kind: tap.Move, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number), By: by})
		}
		c.remote.Wake()
	}
}

// cancel stops the wait for an attempt.
func (x *Exchange) cancel(id decide.RequestID, no int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.calls[id]; c != nil && c.state == Trying && c.attempt.No == no {
		c.canceled = true
		if c.remote != nil {
			c.remote.Close(Clean)
		}
	}
}

// The client side's methods.

// Settled is closed once the call is up or ended.
func (c *Call) Settled() <-chan struct{} { return c.settled }

// Finished is closed once neither side has anything to do with the call any more.
func (c *Call) Finished() <-chan struct{} { return c.finished }

// Spoil fails a call whose client has broken the protocol while it waited for its answer. It is false, and
// nothing has happened, if the call has its answer or is up.
func (c *Call) Spoil() bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.spoil("")
}

func (c *Call) spoil(note string) bool {
	if c.state == Up || c.state == Ended {
		return false
	}
	if !c.resumed && c.state != Claiming { // else the module does not know it
		c.x.post(decide.Gone{ID: c.ID})
	}
	c.end(Answer{Kind: Failed, Note: note})
	return true
}

// Dismiss sends a client away whose call is up.
func (c *Call) Dismiss() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.move(tap.Client)
}

// State is where the call stands, with the final answer if it ended without coming up.
func (c *Call) State() (State, Answer) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.state, c.answer
}

// Remote is the server side's end of a call that is up, else nil.
func (c *Call) Remote() Remote {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Up {
		return nil
	}
	return c.remote
}

// Leave says that the client has ended its side. The server's side is ended in the same way.
func (c *Call) Leave(how Ending) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	switch c.state {
	case Held, Trying, Claiming:
		if !c.resumed && c.state != Claiming {
			c.x.post(decide.Gone{ID: c.ID})
		}
		c.end(Answer{Kind: NoAnswer})
	case Up:
		if !c.broken { // else the server ended it, and this is only the client's side of that
			c.x.post(decide.Gone{ID: c.ID})
		}
		c.state = Ended
		c.remote.Close(how)
	}
}

// Asked says that a line went to the server; see Heard.
func (c *Call) Asked() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.asked == 0 {
		c.asked = c.x.Clock.Now()
	}
}

// The server side's methods. Each names the attempt it speaks for.

// Attach makes the attempt's end known, before it dials. It is false if the attempt is wanted no more.
func (c *Call) Attach(no int, r Remote) bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Trying || c.attempt.No != no || c.canceled {
		return false
	}
	c.remote = r
	return true
}

// Begin is asked just before the attempt's first byte is written. It is false if the server has begun to
// drain meanwhile (rule 3: half a second after the news nothing new may go there, and a dial can take that
// long), if the attempt is wanted no more, if the client has gone (its side may have had no time to read that), or if
// the time in which servers know a repeated request again is over: then nothing may be written.
func (c *Call) Begin(no int) bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	waiting := c.state == Trying && c.attempt.No == no && !c.canceled
	s := c.attempt.listed()
	denial := guard.MayWrite(c.x.Clock.Now(), c.attempt.Until, c.guarded(waiting), s.target(), &c.x.list, waiting && c.client.Pending())
	if denial != guard.Allowed {
		c.deny(denial, s)
		return false
	}
	c.begun, c.began = true, c.x.Clock.Now()
	c.x.figures.add(c.x.figures.sends, c.Class)
	return true
}

// Dialogue is the client's end for a front whose set-up is a conversation, once the attempt has begun; nil
// if the attempt is wanted no more.
func (c *Call) Dialogue(no int) Client {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Trying || c.attempt.No != no || c.canceled {
		return nil
	}
	return c.client
}

// Nudge wakes the server side, for which the client side has left something in what they share.
func (c *Call) Nudge() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.remote != nil && c.out {
		c.remote.Wake()
	}
}

// Reject gives the call its final answer from the server's side: the server will never take it, and no other
// server would. The attempt is to be ended as usual.
func (c *Call) Reject(no int, note string) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state == Trying && c.attempt.No == no {
		c.spoil(note)
	}
}

// Draining tells whether the attempt's server has begun to drain.
func (c *Call) Draining() bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.attempt.listed().mode != decide.Ready
}

// Up says that the server has taken the connection. It returns the client's end, or nil if the client
// has left meanwhile; then the attempt is to be ended.
func (c *Call) Up(no int) Client {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state != Trying || c.attempt.No != no || c.canceled {
		return nil
	}
	c.state, c.wasUp = Up, true
	close(c.settled)
	c.x.figures.add(c.x.figures.answered, c.Class)
	if c.resumed {
		c.x.post(decide.Inherited{Request: c.request(), Backend: c.attempt.Server.Number})
	} else {
		c.x.post(decide.Opened{ID: c.ID, Attempt: no, Backend: c.attempt.Server.Number,
			Took: Duration(c.x.Clock.Now() - c.attempt.SentAt)})
	}
	if c.x.Tap != nil {
		c.x.Tap.Put(&tap.Record{At: c.x.Clock.Now(), Kind: tap.Up, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number),
			Took: c.x.Clock.Now() - c.attempt.SentAt, Attempt: uint8(min(no, 255))})
	}
	if c.x.refusing() {
		c.move(tap.Leaving)
	}
	return c.client
}

// Broken says that the server has ended its connection. It comes before the client's is closed: that makes the
// client's goroutine say that the client has left, and the one to blame would be the wrong one.
func (c *Call) Broken() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.broken = c.state == Up
}

// Moving tells whether the client is to be sent away, and whether that is because the server is silent.
func (c *Call) Moving() (moving, silent bool) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	return c.moving, c.silent
}

// Over ends the attempt, exactly once, after its connection has been closed. Before the call is up it goes
// back to the module; after that it is the end of the call.
func (c *Call) Over(no int, status decide.Status, report decide.Report) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if !c.out || c.attempt.No != no {
		return
	}
	c.out = false
	if c.x.Tap != nil {
		c.tapEnd(status, report)
	}
	if (c.canceled || c.state == Ended) && !status.NeverRan() { // whatever else it met, it was called off
		status = decide.Cancelled
	}
	if !c.mayRun && !status.NeverRan() {
		c.mayRun, c.ranAt, c.ranOn = true, c.began, c.attempt.listed().place()
	}
	switch c.state {
	case Trying:
		c.state = Held
	case Up:
		c.state = Ended
	}
	if c.resumed && c.state == Held { // the module does not know it yet
		c.end(Answer{Kind: Failed, Cause: status})
		return
	}
	if c.state == Held {
		c.answer.Cause = status
	}
	c.x.post(decide.Outcome{ID: c.ID, Attempt: no, Backend: c.attempt.Server.Number, Status: status, Report: report,
		Took: Duration(c.x.Clock.Now() - c.attempt.SentAt), Closed: c.state == Ended})
	c.drop()
}

// Heard says that a line came back from the server. What the oldest unanswered line waited for it is the
// time a message takes there now; the module is told when that is over a third of the shortest aim (where no
// class has one, over lateAfter), and at most once a second for each server.
func (c *Call) Heard() {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.asked != 0 {
		c.note(c.x.Clock.Now() - c.asked)
		c.asked = 0
	}
}

func (c *Call) note(delay float64) {
	least := lateAfter
	for _, class := range c.x.site.Settings.Classes {
		if class.Message > 0 {
			least = min(least, Millis(class.Message)/3)
		}
	}
	now, s := c.x.Clock.Now(), c.attempt.listed()
	if delay > least && now-s.notedAt >= 1000 {
		s.notedAt = now
		if c.x.Tap != nil {
			c.x.Tap.Put(&tap.Record{At: now, Kind: tap.Delay, Request: uint64(c.ID), Server: int32(s.Number), Took: delay})
		}
		c.x.post(decide.DelayNote{ID: c.ID, Backend: s.Number, Delay: Duration(delay)})
	}
}

// Load says that the server has told the connection's load, in microseconds of work a second.
func (c *Call) Load(x float64) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.x.post(decide.LoadNote{ID: c.ID, Backend: c.attempt.Server.Number, Load: x / 1e6})
}

const (
	lateAfter   = 500.0  // an unanswered line is told to the module as a slow message after this
	silentAfter = 4500.0 // and its connection is taken for silent: at 7 s it would be lost
)

// sweep looks for connections whose server brings nothing back. TCP says nothing when a machine vanishes,
// so the lines that came without an answer are all there is to go by.
func (x *Exchange) sweep() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.checkList()
	now := x.Clock.Now()
	for _, c := range x.calls {
		if c.state != Up || c.asked == 0 || now-c.asked < lateAfter {
			continue
		}
		c.note(now - c.asked)
		if now-c.asked >= silentAfter {
			c.silent = true
			c.move(tap.Silence)
		}
	}
}

// Drain makes the relay leave: what comes is refused, what comes up is moved at once.
func (x *Exchange) Drain() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = true
}

// MoveSome moves up to n open calls and returns how many calls there still are.
func (x *Exchange) MoveSome(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if n > 0 && c.state == Up && !c.moving {
			c.move(tap.Leaving)
			n--
		}
	}
	return len(x.calls)
}

// FailAll gives every call that has none its final answer, at the end of a relay's life. A refusal says
// that trying again is harmless, so it is no answer to what may have run and must not run twice.
func (x *Exchange) FailAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		kind := Refused
		if guard.MayRefuse(c.guarded(true)) != guard.Allowed {
			kind = Failed
		}
		c.end(Answer{Kind: kind, by: tap.Leaving})
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
