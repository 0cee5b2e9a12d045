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
	if !r.inSetUp(attempt) {
		return false
	}
	r.attempt.conn = conn
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
		r.recordDenial(denial, r.attempt.currentServer())
		return false
	}
	r.attempt.mayHaveWritten = true
	r.attempt.wroteAt = r.table.Clock.Now()
	r.table.counters.of(r.Class).Attempts++
	return true
}

// HandshakeClientConn returns the client's connection to a front whose set-up exchanges messages with the
// client after the attempt has started. It returns nil if the attempt is no longer wanted.
func (r *Request) HandshakeClientConn(attempt int) ClientConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.inSetUp(attempt) {
		return nil
	}
	return r.clientConn
}

// WakeServerSide wakes the server side, for which the client side has left something in what they share.
func (r *Request) WakeServerSide() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.attempt.conn != nil && r.attempt.inFlight {
		r.attempt.conn.Wake()
	}
}

// FailByServer gives the request its final answer from the server's side: the server will never take it,
// and no other server would. The attempt is to be ended as usual.
func (r *Request) FailByServer(attempt int, note string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == Attempting && r.attempt.Number == attempt {
		r.failWithNote(note)
	}
}

// ServerDraining tells whether the attempt's server has begun to drain.
func (r *Request) ServerDraining() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.attempt.currentServer().state != decide.Ready
}

// Establish says that the server has taken the connection. It returns the client's end, or nil if the
// attempt is no longer wanted; then it is to be ended.
func (r *Request) Establish(attempt int) ClientConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.inSetUp(attempt) {
		return nil
	}
	r.state = Established
	r.established.reached = true
	close(r.settled)
	r.table.counters.of(r.Class).Established++
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
		r.table.post(decide.Inherited{Request: r.decisionRequest(), Server: r.attempt.Server.Number})
		return
	}
	r.table.post(decide.Opened{
		ID:           r.ID,
		Attempt:      r.attempt.Number,
		Server:       r.attempt.Server.Number,
		SetupLatency: (r.table.Clock.Now() - r.attempt.StartedAt).Round(decisionPrecision),
	})
}

// ServerClosed says that the server has ended its connection. It comes before the client's is closed: that
// makes the client's goroutine say that the client has left, and the close would be recorded as the client's.
func (r *Request) ServerClosed() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.established.serverClosed = r.state == Established
}

// Migrating tells whether the client is to be sent to another server, and whether that is because its
// server is silent.
func (r *Request) Migrating() (migrating, serverSilent bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.established.migrating, r.established.serverSilent
}

// ReportLoad says that the server has reported the connection's load, in microseconds of work a second.
func (r *Request) ReportLoad(load float64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.post(decide.ConnectionLoad{ID: r.ID, Server: r.attempt.Server.Number, Load: load / 1e6})
}

// EndAttempt ends the attempt, exactly once, after its connection has been closed. A request that was not
// established goes back to the decision module; for one that was, it is the end.
func (r *Request) EndAttempt(attempt int, status decide.Status, report decide.LoadReport) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.attempt.inFlight || r.attempt.Number != attempt {
		return
	}
	r.attempt.inFlight = false
	if r.table.Recorder != nil {
		r.recordAttemptEnd(status, report)
	}
	// Whatever else it met, one that was called off counts as that.
	if (r.attempt.canceled || r.state == Ended) && !status.NeverRan() {
		status = decide.Cancelled
	}
	if !r.mayHaveRun.happened && !status.NeverRan() {
		on := r.attempt.currentServer().location()
		r.mayHaveRun = possibleRun{happened: true, at: r.attempt.wroteAt, on: on}
	}
	switch r.state {
	case Attempting:
		r.state = Queued
	case Established:
		r.state = Ended
	}
	if r.resumed && r.state == Queued { // the decision module does not know it yet
		r.answerFinally(Answer{Kind: Failed, Cause: status})
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
		Attempt: r.attempt.Number,
		Server:  r.attempt.Server.Number,
		Status:  status,
		Elapsed: (r.table.Clock.Now() - r.attempt.StartedAt).Round(decisionPrecision),
		Closed:  r.state == Ended,
		Report:  report,
	})
}
