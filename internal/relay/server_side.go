package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file contains the methods of Request that the server side calls. A method that concerns one attempt
// takes the number of that attempt.

// Attach sets the attempt's connection, before it is dialled. It returns false if the attempt is no longer
// wanted.
func (r *Request) Attach(attempt int, conn ServerConn) bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.attemptInSetUp(attempt) {
		return false
	}
	r.lastAttempt.conn = conn
	return true
}

// BeginWrite must be called immediately before the attempt's first byte is written. It returns false if the
// guard denies the write; then nothing may be written. A dial takes time, and meanwhile the server may have
// started to drain, the client may have gone, the attempt may have been canceled, or the dedup window, within
// which servers recognize a retry, may have ended.
func (r *Request) BeginWrite(attempt int) bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if denial := r.mayWrite(attempt); denial != guard.Allowed {
		r.recordDenial(denial, r.lastAttempt.currentServer())
		return false
	}
	r.lastAttempt.mayHaveWritten = true
	r.lastAttempt.firstByteAt = r.table.Clock.Now()
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

// WakeServerSide wakes the server side, after the client side has put something for it into the shared
// payload.
func (r *Request) WakeServerSide() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.lastAttempt.conn != nil && r.lastAttempt.inFlight {
		r.lastAttempt.conn.Wake()
	}
}

// FailByServer fails the request on behalf of the server: this server refuses the request for good, and so
// would every other server. note is for the client. The server side still has to call EndAttempt.
func (r *Request) FailByServer(attempt int, note string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == Attempting && r.lastAttempt.Number == attempt {
		r.failWithNote(note)
	}
}

// ServerDraining reports whether the server of the latest attempt is draining or gone.
func (r *Request) ServerDraining() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.lastAttempt.currentServer().state != decide.Ready
}

// Establish reports that the server has accepted the connection. It returns the client's connection, or nil
// if the attempt is no longer wanted; then the server side has to end it.
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

// postEstablished notifies the decision module that a request is established. A resumed request is new to the
// module, so its notification contains the whole request. The caller holds the lock.
func (r *Request) postEstablished() {
	if r.resumed {
		r.table.post(decide.Inherited{Request: r.decisionRequest(), Server: r.lastAttempt.Server.Number})
		return
	}
	r.table.post(decide.Opened{
		ID:           r.ID,
		Attempt:      r.lastAttempt.Number,
		Server:       r.lastAttempt.Server.Number,
		SetupLatency: (r.table.Clock.Now() - r.lastAttempt.StartedAt).Round(decisionPrecision),
	})
}

// ServerClosed reports that the server has closed its connection. The server side must call it before it
// closes the client's connection: that close makes the client's goroutine call ClientClosed, and the end of
// the connection would be attributed to the client.
func (r *Request) ServerClosed() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.connection.serverClosed = r.state == Established
}

// Migrating reports whether the client is being migrated to another server, and whether the reason is that
// its server is silent.
func (r *Request) Migrating() (migrating, serverSilent bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.connection.migrating, r.connection.serverSilent
}

// ReportLoad passes on the load of the connection that the server has reported, in microseconds of work per
// second.
func (r *Request) ReportLoad(load float64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.post(decide.ConnectionLoad{ID: r.ID, Server: r.lastAttempt.Server.Number, Load: load / 1e6})
}

// EndAttempt reports the end of the attempt. The server side calls it exactly once, after it has closed the
// attempt's connection. A request that was not established returns to the decision module; an established
// request ends.
func (r *Request) EndAttempt(attempt int, status decide.Status, report decide.LoadReport) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.lastAttempt.inFlight || r.lastAttempt.Number != attempt {
		return
	}
	r.lastAttempt.inFlight = false
	if r.table.Recorder != nil {
		r.recordAttemptEnd(status, report)
	}
	// A canceled attempt counts as canceled, whatever status the server side reports, unless that status
	// proves that it was never executed.
	if (r.lastAttempt.canceled || r.state == Ended) && !status.NeverRan() {
		status = decide.Cancelled
	}
	if !r.possibleRun.exists && !status.NeverRan() {
		location := r.lastAttempt.currentServer().location()
		r.possibleRun = possibleRun{exists: true, firstByteAt: r.lastAttempt.firstByteAt, location: location}
	}
	switch r.state {
	case Attempting:
		r.state = Queued
	case Established:
		r.state = Ended
	}
	if r.resumed && r.state == Queued { // the decision module does not know this request yet
		r.setFinalAnswer(Answer{Kind: Failed, Cause: status})
		return
	}
	if r.state == Queued {
		r.answer.Cause = status
	}
	r.postOutcome(status, report)
	r.removeIfDone()
}

// postOutcome notifies the decision module of how the latest attempt ended. The caller holds the lock.
func (r *Request) postOutcome(status decide.Status, report decide.LoadReport) {
	r.table.post(decide.Outcome{
		ID:      r.ID,
		Attempt: r.lastAttempt.Number,
		Server:  r.lastAttempt.Server.Number,
		Status:  status,
		Elapsed: (r.table.Clock.Now() - r.lastAttempt.StartedAt).Round(decisionPrecision),
		Closed:  r.state == Ended,
		Report:  report,
	})
}
