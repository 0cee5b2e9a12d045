package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the server side's methods of a request. Each names the attempt that it speaks for, by its
// number.

// Attach makes the attempt's connection known, before it is dialled. It is false if the attempt is no
// longer wanted.
func (r *Request) Attach(attempt int, conn ServerConn) bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.attemptInSetUp(attempt) {
		return false
	}
	r.latest.conn = conn
	return true
}

// BeginWrite is asked just before the attempt's first byte is written. It is false, and nothing may be
// written, if the guard denies it: a dial takes time, and meanwhile the server may have begun to drain, the
// client may have gone, the attempt may have been canceled, or the time in which servers recognize a retry
// may be over.
func (r *Request) BeginWrite(attempt int) bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if denial := r.mayWrite(attempt); denial != guard.Allowed {
		r.recordDenial(denial, r.latest.currentServer())
		return false
	}
	r.latest.mayHaveWritten = true
	r.latest.firstByteAt = r.table.Clock.Now()
	r.table.counters.forClass(r.Class).Attempts++
	return true
}

// HandshakeClientConn returns the client's connection to a front whose set-up exchanges messages with the
// client after the attempt has started. It returns nil if the attempt is no longer wanted.
func (r *Request) HandshakeClientConn(attempt int) ClientConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.attemptInSetUp(attempt) {
		return nil
	}
	return r.clientConn
}

// WakeServerSide wakes the server side, for which the client side has left something in what they share.
func (r *Request) WakeServerSide() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.latest.conn != nil && r.latest.inFlight {
		r.latest.conn.Wake()
	}
}

// FailByServer gives the request its final answer from the server's side: the server will never take it,
// and no other server would. The attempt is to be ended as usual.
func (r *Request) FailByServer(attempt int, note string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == Attempting && r.latest.Number == attempt {
		r.failWithNote(note)
	}
}

// ServerDraining tells whether the attempt's server has begun to drain.
func (r *Request) ServerDraining() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.latest.currentServer().state != decide.Ready
}

// Establish says that the server has taken the connection. It returns the client's end, or nil if the
// attempt is no longer wanted; then it is to be ended.
func (r *Request) Establish(attempt int) ClientConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.attemptInSetUp(attempt) {
		return nil
	}
	r.state = Established
	r.connection.wasEstablished = true
	close(r.establishedOrEnded)
	r.table.counters.forClass(r.Class).Established++
	r.postEstablished()
	if r.table.Recorder != nil {
		r.recordEstablished()
	}
	if r.table.rejecting() {
		r.migrate(recorder.Shutdown)
	}
	return r.clientConn
}

// postEstablished tells the decision module that a request is established, and of one that was resumed all
// else too. The caller holds the lock.
func (r *Request) postEstablished() {
	if r.resumed {
		r.table.post(decide.Inherited{Request: r.decisionRequest(), Server: r.latest.Server.Number})
		return
	}
	r.table.post(decide.Opened{
		ID:           r.ID,
		Attempt:      r.latest.Number,
		Server:       r.latest.Server.Number,
		SetupLatency: (r.table.Clock.Now() - r.latest.StartedAt).Round(decisionPrecision),
	})
}

// ServerClosed says that the server has ended its connection. It comes before the client's is closed: that
// makes the client's goroutine say that the client has left, and the close would be recorded as the client's.
func (r *Request) ServerClosed() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.connection.serverClosed = r.state == Established
}

// Migrating tells whether the client is to be sent to another server, and whether that is because its
// server is silent.
func (r *Request) Migrating() (migrating, serverSilent bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.connection.migrating, r.connection.serverSilent
}

// ReportLoad says that the server has reported the connection's load, in microseconds of work a second.
func (r *Request) ReportLoad(load float64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.post(decide.ConnectionLoad{ID: r.ID, Server: r.latest.Server.Number, Load: load / 1e6})
}

// EndAttempt ends the attempt, exactly once, after its connection has been closed. A request that was not
// established goes back to the decision module; for one that was, it is the end.
func (r *Request) EndAttempt(attempt int, status decide.Status, report decide.LoadReport) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.latest.inFlight || r.latest.Number != attempt {
		return
	}
	r.latest.inFlight = false
	if r.table.Recorder != nil {
		r.recordAttemptEnd(status, report)
	}
	// Whatever else it met, one that was called off counts as that.
	if (r.latest.canceled || r.state == Ended) && !status.NeverRan() {
		status = decide.Cancelled
	}
	if !r.possibleRun.exists && !status.NeverRan() {
		location := r.latest.currentServer().location()
		r.possibleRun = firstPossibleRun{exists: true, firstByteAt: r.latest.firstByteAt, serverLocation: location}
	}
	switch r.state {
	case Attempting:
		r.state = Queued
	case Established:
		r.state = Ended
	}
	if r.resumed && r.state == Queued { // the decision module does not know it yet
		r.setFinalAnswer(Answer{Kind: Failed, Cause: status})
		return
	}
	if r.state == Queued {
		r.answer.Cause = status
	}
	r.postOutcome(status, report)
	r.removeIfDone()
}

// postOutcome tells the decision module how the latest attempt ended. The caller holds the lock.
func (r *Request) postOutcome(status decide.Status, report decide.LoadReport) {
	r.table.post(decide.Outcome{
		ID:      r.ID,
		Attempt: r.latest.Number,
		Server:  r.latest.Server.Number,
		Status:  status,
		Elapsed: (r.table.Clock.Now() - r.latest.StartedAt).Round(decisionPrecision),
		Closed:  r.state == Ended,
		Report:  report,
	})
}
