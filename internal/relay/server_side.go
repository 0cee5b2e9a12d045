package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the server side's methods of a call. Each names the attempt that it speaks for.

// Attach makes the attempt's end known, before it dials. It is false if the attempt is wanted no more.
func (c *Request) Attach(no int, r ServerConn) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state != Attempting || c.attempt.Number != no || c.canceled {
		return false
	}
	c.serverConn = r
	return true
}

// BeginWrite is asked just before the attempt's first byte is written. It is false if the server has begun to
// drain meanwhile (rule 3: half a second after the news nothing new may go there, and a dial can take that
// long), if the attempt is wanted no more, if the client has gone (its side may have had no time to read that), or if
// the time in which servers know a repeated request again is over: then nothing may be written.
func (c *Request) BeginWrite(no int) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	waiting := c.state == Attempting && c.attempt.Number == no && !c.canceled
	s := c.attempt.currentServer()
	denial := guard.MayWrite(c.table.Clock.Now(), Duration(c.attempt.Deadline), c.guardFacts(waiting), s.guardStatus(), &c.table.endpointLease, waiting && c.clientConn.HasUnread())
	if denial != guard.Allowed {
		c.recordDenial(denial, s)
		return false
	}
	c.mayHaveWritten, c.wroteAt = true, c.table.Clock.NowMillis()
	c.table.counters.increment(c.table.counters.attempts, c.Class)
	return true
}

// HandshakeClient is the client's end for a front whose set-up is a conversation, once the attempt has begun; nil
// if the attempt is wanted no more.
func (c *Request) HandshakeClient(no int) ClientConn {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state != Attempting || c.attempt.Number != no || c.canceled {
		return nil
	}
	return c.clientConn
}

// WakeServerSide wakes the server side, for which the client side has left something in what they share.
func (c *Request) WakeServerSide() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.serverConn != nil && c.attemptInFlight {
		c.serverConn.Wake()
	}
}

// FailByServer gives the call its final answer from the server's side: the server will never take it, and no other
// server would. The attempt is to be ended as usual.
func (c *Request) FailByServer(no int, note string) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state == Attempting && c.attempt.Number == no {
		c.failWithNote(note)
	}
}

// ServerDraining tells whether the attempt's server has begun to drain.
func (c *Request) ServerDraining() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.attempt.currentServer().mode != decide.Ready
}

// Establish says that the server has taken the connection. It returns the client's end, or nil if the client
// has left meanwhile; then the attempt is to be ended.
func (c *Request) Establish(no int) ClientConn {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state != Attempting || c.attempt.Number != no || c.canceled {
		return nil
	}
	c.state, c.wasEstablished = Established, true
	close(c.settled)
	c.table.counters.increment(c.table.counters.established, c.Class)
	if c.resumed {
		c.table.post(decide.Inherited{Request: c.decisionRequest(), Server: c.attempt.Server.Number})
	} else {
		c.table.post(decide.Opened{ID: c.ID, Attempt: no, Server: c.attempt.Server.Number,
			SetupLatency: Duration(c.table.Clock.NowMillis() - c.attempt.StartedAt)})
	}
	if c.table.Recorder != nil {
		c.table.Recorder.Put(&recorder.Record{At: c.table.Clock.NowMillis(), Kind: recorder.ConnectionUp, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number),
			Elapsed: c.table.Clock.NowMillis() - c.attempt.StartedAt, Attempt: uint8(min(no, 255))})
	}
	if c.table.rejecting() {
		c.migrate(recorder.Shutdown)
	}
	return c.clientConn
}

// ServerClosed says that the server has ended its connection. It comes before the client's is closed: that makes the
// client's goroutine say that the client has left, and the one to blame would be the wrong one.
func (c *Request) ServerClosed() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.serverClosed = c.state == Established
}

// Migrating tells whether the client is to be sent away, and whether that is because the server is silent.
func (c *Request) Migrating() (moving, silent bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.migrating, c.serverSilent
}

// EndAttempt ends the attempt, exactly once, after its connection has been closed. Before the call is up it goes
// back to the module; after that it is the end of the call.
func (c *Request) EndAttempt(no int, status decide.Status, report decide.LoadReport) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if !c.attemptInFlight || c.attempt.Number != no {
		return
	}
	c.attemptInFlight = false
	if c.table.Recorder != nil {
		c.recordAttemptEnd(status, report)
	}
	if (c.canceled || c.state == Ended) && !status.NeverRan() { // whatever else it met, it was called off
		status = decide.Cancelled
	}
	if !c.mayHaveRun && !status.NeverRan() {
		c.mayHaveRun, c.mayHaveRunAt, c.mayHaveRunOn = true, c.wroteAt, c.attempt.currentServer().location()
	}
	switch c.state {
	case Attempting:
		c.state = Queued
	case Established:
		c.state = Ended
	}
	if c.resumed && c.state == Queued { // the module does not know it yet
		c.answerFinally(Answer{Kind: Failed, Cause: status})
		return
	}
	if c.state == Queued {
		c.answer.Cause = status
	}
	c.table.post(decide.Outcome{ID: c.ID, Attempt: no, Server: c.attempt.Server.Number, Status: status, Report: report,
		Elapsed: Duration(c.table.Clock.NowMillis() - c.attempt.StartedAt), Closed: c.state == Ended})
	c.removeIfDone()
}

// ReportLoad says that the server has told the connection's load, in microseconds of work a second.
func (c *Request) ReportLoad(x float64) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.post(decide.ConnectionLoad{ID: c.ID, Server: c.attempt.Server.Number, Load: x / 1e6})
}
