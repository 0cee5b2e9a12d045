package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// RequestParams are the parameters of a client's request. Names are replaced by the numbers that the
// deployment assigns to them.
type RequestParams struct {
	Name      string // name that the servers know the request by, "" for none
	Class     decide.Class
	Tenant    decide.Tenant
	Key       uint64         // idempotency key, 0 for none
	Group     uint64         // connections of the same group share work, 0 for none
	LoadHint  float64        // expected load of the connection, 0 if it is unknown
	Timeout   time.Duration  // how long the client waits for its answer
	Returning bool           // the client reconnects after a failure or a migration, or retries
	Ownership OwnershipLease // nil for none
	Payload   any            // shared by the two sides of the front; not read by this package
}

// Answer is the final answer to a request that was never established.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration // when the client should retry; only with Rejected, 0 for no advice
	Cause      decide.Status // how the last attempt of the request ended
	Note       string        // reason that the front may tell the client; only with Failed

	reason    decide.RejectReason
	decidedBy recorder.Initiator
}

// Request is one request, from its arrival until both the client side and the server side have finished with
// it. The table's lock guards its fields. Both sides use its methods, which are safe for concurrent use.
type Request struct {
	RequestParams
	ID decide.RequestID

	table      *RequestTable
	clientConn ClientConn
	deadline   time.Duration // instant until which the client waits
	resumed    bool          // the connection was open at its server before this relay started

	state              State
	answer             Answer
	establishedOrEnded chan struct{} // closed once the request is established or has ended
	bothSidesDone      chan struct{} // closed once both sides have finished with the request
	ownershipLost      bool          // this relay may have lost the ownership lease

	attemptsStarted int
	lastAttempt     lastAttemptState
	possibleRun     possibleRun
	connection      connectionState
}

// lastAttemptState is the most recent attempt of a request, in flight or not.
type lastAttemptState struct {
	Attempt
	inFlight       bool          // the server side has not reported the end of the attempt
	mayHaveWritten bool          // the first byte of the attempt may have been written
	firstByteAt    time.Duration // when BeginWrite last permitted a first byte, of any attempt
	canceled       bool          // the attempt is no longer wanted
	conn           ServerConn    // nil until the server side has called Attach
}

// possibleRun describes the first attempt of a request that ended without proof that no server executed
// it.
type possibleRun struct {
	exists      bool
	firstByteAt time.Duration // when BeginWrite permitted the first byte of that attempt
	location    guard.Location
}

// connectionState is the state of the connection of an established request.
type connectionState struct {
	wasEstablished  bool          // the request has been established, even if it has ended since
	migrating       bool          // the client is being migrated to another server
	serverSilent    bool          // the reason for the migration is that the server is silent
	serverClosed    bool          // the server closed the connection before the client did
	unansweredSince time.Duration // when the oldest unanswered line was sent to the server, 0 if none
}

// attemptInSetUp reports whether an attempt is the latest one, is still wanted, and is not established yet.
// The caller holds the lock.
func (r *Request) attemptInSetUp(attempt int) bool {
	return r.state == Attempting && r.lastAttempt.Number == attempt && !r.lastAttempt.canceled
}

// nameTaken reports whether another request has the same name. The caller holds the lock.
func (r *Request) nameTaken() bool { return !r.table.requests.names.isOwnedBy(r) }

// decisionRequest returns the request in the form that the decision module uses. The caller holds the lock.
func (r *Request) decisionRequest() decide.Request {
	left := r.Timeout
	if r.Ownership != nil { // waiting for the lease has used up part of the timeout
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

// startAttempt starts an attempt at a server. The attempt is abandoned after timeout, and at the client's
// deadline in any case; a timeout of 0 means that only the client's deadline applies. The caller holds the
// lock.
func (r *Request) startAttempt(s *Server, timeout time.Duration) {
	now := r.table.Clock.Now()
	if r.lastAttempt.inFlight {
		r.recordViolation(guard.NoDuplicateAttempt, s)
	}
	deadline := r.deadline
	if timeout != 0 {
		deadline = min(deadline, addSaturating(now, timeout))
	}
	server := *s
	server.listEntry = s
	r.state = Attempting
	r.lastAttempt = lastAttemptState{
		Attempt: Attempt{
			Number:         r.attemptsStarted,
			Server:         server,
			StartedAt:      now,
			Deadline:       deadline,
			ClientDeadline: r.deadline,
		},
		inFlight:    true,
		firstByteAt: r.lastAttempt.firstByteAt,
	}
	r.attemptsStarted++
	r.table.dialer.StartAttempt(r, r.lastAttempt.Attempt)
}

// setFinalAnswer gives a request its final answer. It does nothing if the request is established or has
// ended. The caller holds the lock.
func (r *Request) setFinalAnswer(a Answer) {
	if guard.MayAnswer(r.state == Ended, r.state == Established) != guard.Allowed {
		return
	}
	if a.Kind != NoAnswer && r.table.Clock.Now()-r.deadline > guard.AnswerSlack {
		r.recordViolation(guard.AnswerInTime, nil)
	}
	if a.Cause == decide.OK { // no cause is given: use the status of the last attempt
		a.Cause = r.answer.Cause
	}
	r.state = Ended
	r.answer = a
	close(r.establishedOrEnded)
	r.table.counters.countAnswer(r.Class, a.Kind)
	if r.table.Recorder != nil {
		r.recordAnswer(a)
	}
	if r.lastAttempt.inFlight && r.lastAttempt.conn != nil {
		r.lastAttempt.conn.Close(GracefulClose)
	}
	r.removeIfDone()
	r.clientConn.Wake()
}

// removeIfDone removes the request from the table if both sides have finished with it. The caller holds the
// lock.
func (r *Request) removeIfDone() {
	if r.state != Ended || r.lastAttempt.inFlight || !r.table.requests.remove(r) {
		return
	}
	close(r.bothSidesDone)
	if r.Ownership != nil { // not earlier, because an attempt in flight needs the lease
		r.Ownership.Release()
	}
}

// migrate makes the server side migrate the client of an established request to another server. It does
// nothing if the request is not established or is already migrating. The caller holds the lock.
func (r *Request) migrate(initiator recorder.Initiator) {
	if r.state != Established || r.connection.migrating {
		return
	}
	r.connection.migrating = true
	if r.table.Recorder != nil {
		r.recordMigration(initiator)
	}
	r.lastAttempt.conn.Wake()
}
