package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// RequestParams is what a client asks for, in the numbers that the deployment gives to names.
type RequestParams struct {
	Name      string // by which servers know the request, "" if they do not
	Class     decide.Class
	Tenant    decide.Tenant
	Key       uint64         // 0 for none
	Group     uint64         // connections of one group share work, 0 for none
	LoadHint  float64        // the usual load, 0 if it is not known
	Timeout   time.Duration  // how long the client will wait for its answer
	Returning bool           // the client comes back after a break or a migration, or retries
	Ownership OwnershipLease // nil for none
	Payload   any            // what the front's two sides share; nothing here reads it
}

// Answer is the final answer to a request that was never established.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // with Rejected, 0 for no advice
	Cause      decide.Status // how its last attempt ended
	Note       string        // with Failed, what the front may tell the client of the reason

	reason    decide.RejectReason
	decidedBy recorder.Initiator
}

// Request is one request, from its arrival until both sides are done with it. Its fields are the table's,
// under the table's lock; both sides use its methods, which are safe for use by many goroutines.
type Request struct {
	RequestParams
	ID decide.RequestID

	table      *RequestTable
	clientConn ClientConn
	deadline   time.Duration // until when the client waits
	resumed    bool          // it was open at its server before this relay started

	state              State
	answer             Answer
	establishedOrEnded chan struct{} // closed once the request is established or ended
	bothSidesDone      chan struct{} // closed once both sides are done with it
	ownershipLost      bool          // its ownership lease may be lost

	attemptsStarted int // started so far
	latest          latestAttempt
	possibleRun     firstPossibleRun
	connection      connectionState
}

// latestAttempt is the attempt of a request that was started last, in flight or not.
type latestAttempt struct {
	Attempt
	inFlight       bool          // the server side has not reported its end
	mayHaveWritten bool          // its first byte may have been written
	firstByteAt    time.Duration // when the first byte of the latest attempt that wrote one was let go
	canceled       bool          // it is no longer wanted
	conn           ServerConn    // nil until the server side has attached it
}

// firstPossibleRun is the first attempt of a request that ended without proof that it never ran.
type firstPossibleRun struct {
	exists         bool
	firstByteAt    time.Duration // when its first byte was let go
	serverLocation guard.Location
}

// connectionState is what a request is in once it is established.
type connectionState struct {
	wasEstablished  bool          // it has been established, even if it has ended since
	migrating       bool          // the client is to be sent to another server
	serverSilent    bool          // because its server brings nothing back
	serverClosed    bool          // the server ended the connection, before the client did
	unansweredSince time.Duration // when the oldest line without an answer went to the server, 0 if none
}

// attemptInSetUp tells whether an attempt is still wanted and not yet established. The caller holds the lock.
func (r *Request) attemptInSetUp(attempt int) bool {
	return r.state == Attempting && r.latest.Number == attempt && !r.latest.canceled
}

// nameTaken tells whether another request has the name. The caller holds the lock.
func (r *Request) nameTaken() bool {
	return r.Name != "" && r.table.requests.byName[r.Name] != r
}

// decisionRequest returns the request as the decision module gets it. The caller holds the lock.
func (r *Request) decisionRequest() decide.Request {
	left := r.Timeout
	if r.Ownership != nil { // it has waited for its lease, while the client's deadline came nearer
		left = max(0, r.deadline-r.table.Clock.Now())
	}
	return decide.Request{
		ID:        r.ID,
		Class:     r.Class,
		Tenant:    r.Tenant,
		Key:       r.Key,
		TimeLeft:  left.Round(decisionPrecision),
		LoadHint:  r.LoadHint,
		Group:     r.Group,
		Returning: r.Returning,
	}
}

// startAttempt starts an attempt at a server, which is given up after timeout; 0 is the client's deadline
// alone. The caller holds the lock.
func (r *Request) startAttempt(s *Server, timeout time.Duration) {
	now := r.table.Clock.Now()
	if r.latest.inFlight {
		r.recordViolation(guard.NoDuplicateAttempt, s)
	}
	deadline := r.deadline
	if timeout != 0 {
		deadline = min(deadline, addSaturating(now, timeout))
	}
	server := *s
	server.listEntry = s
	r.state = Attempting
	r.latest = latestAttempt{
		Attempt: Attempt{
			Number:         r.attemptsStarted,
			Server:         server,
			StartedAt:      now,
			Deadline:       deadline,
			ClientDeadline: r.deadline,
		},
		inFlight:    true,
		firstByteAt: r.latest.firstByteAt,
	}
	r.attemptsStarted++
	r.table.dialer.StartAttempt(r, r.latest.Attempt)
}

// setFinalAnswer gives a request that is not established its final answer, once. The caller holds the lock.
func (r *Request) setFinalAnswer(a Answer) {
	if guard.MayAnswer(r.state == Ended, r.state == Established) != guard.Allowed {
		return
	}
	if a.Kind != NoAnswer && r.table.Clock.Now()-r.deadline > guard.AnswerSlack {
		r.recordViolation(guard.AnswerInTime, nil)
	}
	if a.Cause == decide.OK { // then what its last attempt met
		a.Cause = r.answer.Cause
	}
	r.state = Ended
	r.answer = a
	close(r.establishedOrEnded)
	r.table.counters.countAnswer(r.Class, a.Kind)
	if r.table.Recorder != nil {
		r.recordAnswer(a)
	}
	if r.latest.inFlight && r.latest.conn != nil {
		r.latest.conn.Close(GracefulClose)
	}
	r.removeIfDone()
	r.clientConn.Wake()
}

// removeIfDone forgets a request that both sides are done with. The caller holds the lock.
func (r *Request) removeIfDone() {
	if r.state != Ended || r.latest.inFlight || !r.table.requests.remove(r) {
		return
	}
	close(r.bothSidesDone)
	if r.Ownership != nil { // never before: an attempt in flight holds the lease
		r.Ownership.Release()
	}
}

// migrate has the server side send the client of an established request to another server, once. The caller
// holds the lock.
func (r *Request) migrate(by recorder.Initiator) {
	if r.state != Established || r.connection.migrating {
		return
	}
	r.connection.migrating = true
	if r.table.Recorder != nil {
		r.recordMigration(by)
	}
	r.latest.conn.Wake()
}
