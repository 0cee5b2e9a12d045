package relay

import (
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
