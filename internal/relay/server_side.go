package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the server side's methods of a call. Each names the attempt that it speaks for.

// Attach makes the attempt's end known, before it dials. It is false if the attempt is wanted no more.
func (r *Request) Attach(no int, conn ServerConn) bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Attempting || r.attempt.Number != no || r.canceled {
		return false
	}
	r.serverConn = conn
	return true
}

// BeginWrite is asked just before the attempt's first byte is written. It is false if the server has begun to
// drain meanwhile (rule 3: half a second after the news nothing new may go there, and a dial can take that
// long), if the attempt is wanted no more, if the client has gone (its side may have had no time to read that), or if
// the time in which servers know a repeated request again is over: then nothing may be written.
func (r *Request) BeginWrite(no int) bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	waiting := r.state == Attempting && r.attempt.Number == no && !r.canceled
	s := r.attempt.currentServer()
	denial := guard.MayWrite(r.table.Clock.Now(), Duration(r.attempt.Deadline), r.guardFacts(waiting), s.guardStatus(), &r.table.endpointLease, waiting && r.clientConn.HasUnread())
	if denial != guard.Allowed {
		r.recordDenial(denial, s)
		return false
	}
	r.mayHaveWritten, r.wroteAt = true, r.table.Clock.NowMillis()
	r.table.counters.increment(r.table.counters.attempts, r.Class)
	return true
}

// HandshakeClient is the client's end for a front whose set-up is a conversation, once the attempt has begun; nil
// if the attempt is wanted no more.
func (r *Request) HandshakeClient(no int) ClientConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Attempting || r.attempt.Number != no || r.canceled {
		return nil
	}
	return r.clientConn
}

// WakeServerSide wakes the server side, for which the client side has left something in what they share.
func (r *Request) WakeServerSide() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.serverConn != nil && r.attemptInFlight {
		r.serverConn.Wake()
	}
}

// FailByServer gives the call its final answer from the server's side: the server will never take it, and no other
// server would. The attempt is to be ended as usual.
func (r *Request) FailByServer(no int, note string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == Attempting && r.attempt.Number == no {
		r.failWithNote(note)
	}
}

// ServerDraining tells whether the attempt's server has begun to drain.
func (r *Request) ServerDraining() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.attempt.currentServer().mode != decide.Ready
}

// Establish says that the server has taken the connection. It returns the client's end, or nil if the client
// has left meanwhile; then the attempt is to be ended.
func (r *Request) Establish(no int) ClientConn {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Attempting || r.attempt.Number != no || r.canceled {
		return nil
	}
	r.state, r.wasEstablished = Established, true
	close(r.settled)
	r.table.counters.increment(r.table.counters.established, r.Class)
	if r.resumed {
		r.table.post(decide.Inherited{Request: r.decisionRequest(), Server: r.attempt.Server.Number})
	} else {
		r.table.post(decide.Opened{ID: r.ID, Attempt: no, Server: r.attempt.Server.Number,
			SetupLatency: Duration(r.table.Clock.NowMillis() - r.attempt.StartedAt)})
	}
	if r.table.Recorder != nil {
		r.table.Recorder.Put(&recorder.Record{At: r.table.Clock.NowMillis(), Kind: recorder.ConnectionUp, Request: uint64(r.ID), Server: int32(r.attempt.Server.Number),
			Elapsed: r.table.Clock.NowMillis() - r.attempt.StartedAt, Attempt: uint8(min(no, 255))})
	}
	if r.table.rejecting() {
		r.migrate(recorder.Shutdown)
	}
	return r.clientConn
}

// ServerClosed says that the server has ended its connection. It comes before the client's is closed: that makes the
// client's goroutine say that the client has left, and the one to blame would be the wrong one.
func (r *Request) ServerClosed() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.serverClosed = r.state == Established
}

// Migrating tells whether the client is to be sent away, and whether that is because the server is silent.
func (r *Request) Migrating() (moving, silent bool) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.migrating, r.serverSilent
}

// EndAttempt ends the attempt, exactly once, after its connection has been closed. Before the call is up it goes
// back to the module; after that it is the end of the call.
func (r *Request) EndAttempt(no int, status decide.Status, report decide.LoadReport) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.attemptInFlight || r.attempt.Number != no {
		return
	}
	r.attemptInFlight = false
	if r.table.Recorder != nil {
		r.recordAttemptEnd(status, report)
	}
	if (r.canceled || r.state == Ended) && !status.NeverRan() { // whatever else it met, it was called off
		status = decide.Cancelled
	}
	if !r.mayHaveRun && !status.NeverRan() {
		r.mayHaveRun, r.mayHaveRunAt, r.mayHaveRunOn = true, r.wroteAt, r.attempt.currentServer().location()
	}
	switch r.state {
	case Attempting:
		r.state = Queued
	case Established:
		r.state = Ended
	}
	if r.resumed && r.state == Queued { // the module does not know it yet
		r.answerFinally(Answer{Kind: Failed, Cause: status})
		return
	}
	if r.state == Queued {
		r.answer.Cause = status
	}
	r.table.post(decide.Outcome{ID: r.ID, Attempt: no, Server: r.attempt.Server.Number, Status: status, Report: report,
		Elapsed: Duration(r.table.Clock.NowMillis() - r.attempt.StartedAt), Closed: r.state == Ended})
	r.removeIfDone()
}

// ReportLoad says that the server has told the connection's load, in microseconds of work a second.
func (r *Request) ReportLoad(x float64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.table.post(decide.ConnectionLoad{ID: r.ID, Server: r.attempt.Server.Number, Load: x / 1e6})
}
