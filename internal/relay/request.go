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
func (r *Request) nameTaken() bool { return r.Name != "" && r.table.requestsByName[r.Name] != r }

func (r *Request) decisionRequest() decide.Request {
	left := r.Timeout
	if r.Ownership != nil { // the wait for the claim is over, and the client's patience has gone on
		left = max(0, r.deadline-r.table.Clock.NowMillis())
	}
	return decide.Request{ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Key, TimeLeft: Duration(left), LoadHint: r.Hint,
		Group: r.Group, Returning: r.Returned}
}

// startAttempt starts an attempt. The caller holds the lock.
func (r *Request) startAttempt(s *Server, timeout float64) {
	now := r.table.Clock.NowMillis()
	if r.attemptInFlight {
		r.recordViolation(guard.NoDuplicateAttempt, s)
	}
	until := r.deadline
	if timeout != 0 {
		until = min(until, now+timeout)
	}
	r.attempt = Attempt{Number: r.attempts, Server: *s, StartedAt: now, Deadline: until, ClientDeadline: r.deadline}
	r.attempt.Server.current = s
	r.state, r.attemptInFlight, r.mayHaveWritten, r.canceled, r.serverConn = Attempting, true, false, false, nil
	r.attempts++
	r.table.dialer.StartAttempt(r, r.attempt)
}

// answerFinally gives a call that is not up its final answer, once. The caller holds the lock.
func (r *Request) answerFinally(a Answer) {
	if guard.MayAnswer(r.state == Ended, r.state == Established) != guard.Allowed {
		return
	}
	if a.Kind != NoAnswer && r.table.Clock.NowMillis() > r.deadline+Millis(guard.AnswerSlack) {
		r.recordViolation(guard.AnswerInTime, nil)
	}
	if a.Cause == decide.OK { // then what the last attempt met
		a.Cause = r.answer.Cause
	}
	r.state, r.answer = Ended, a
	close(r.settled)
	r.table.counters.countAnswer(r.Class, a.Kind)
	if r.table.Recorder != nil {
		r.recordAnswer(a)
	}
	if r.attemptInFlight && r.serverConn != nil {
		r.serverConn.Close(GracefulClose)
	}
	r.removeIfDone()
	r.clientConn.Wake()
}

// removeIfDone forgets a call that is over on both sides.
func (r *Request) removeIfDone() {
	if r.state == Ended && !r.attemptInFlight && r.table.requests[r.ID] == r {
		delete(r.table.requests, r.ID)
		if !r.nameTaken() {
			delete(r.table.requestsByName, r.Name)
		}
		close(r.finished)
		if r.Ownership != nil { // and never before: an attempt that is out holds the claim
			r.Ownership.Release()
		}
	}
}
