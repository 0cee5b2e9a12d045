package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file carries out what the decision module wants of calls.

// startAttempt does what the module wants: one more attempt. What the rules forbid is never sent.
func (x *RequestTable) startAttempt(id decide.RequestID, to decide.ServerID, timeout float64, pool []decide.PooledServer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.requests[id]
	if denial := x.mayAttempt(c, to); denial != guard.Allowed {
		x.post(decide.Outcome{ID: id, Server: to, Status: decide.Superseded, Closed: c == nil || c.state != Queued, Report: decide.NoLoadReport})
		return
	}
	c.startAttempt(x.endpoints.servers[to], timeout)
	if x.Recorder != nil {
		c.recordPlacement(pool)
	}
}

// mayAttempt tells whether an attempt of a call that the module wants may be started. The caller holds the lock.
func (x *RequestTable) mayAttempt(c *Request, to decide.ServerID) guard.Denial {
	if c == nil {
		return guard.NotWaiting
	}
	var s *Server
	if to >= 0 && int(to) < len(x.endpoints.servers) {
		s = x.endpoints.servers[to]
	}
	denial := guard.MayAttempt(x.Clock.Now(), c.guardFacts(c.state == Queued), s.guardStatus(), &x.endpointLease)
	if denial != guard.Allowed {
		c.recordDenial(denial, s)
	}
	return denial
}

// answer gives a request the module's final answer. It comes too late for one that is up or ended.
func (x *RequestTable) answer(id decide.RequestID, a Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.requests[id]
	if c == nil || guard.MayAnswer(c.state == Ended, c.state == Established) != guard.Allowed {
		return
	}
	if a.Kind == Rejected && guard.MayReject(c.guardFacts(true)) != guard.Allowed {
		c.recordViolation(guard.RejectOnlyIfHarmless, nil)
		a.Kind = Failed
	}
	if a.reason != decide.NoReason && a.reason <= decide.MayHaveRun {
		x.counters.rejections[a.reason]++
	}
	c.answerFinally(a)
}

// failOverdue is the backstop behind the module: a request that has no answer well after its deadline fails.
func (x *RequestTable) failOverdue(id decide.RequestID) (late bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.requests[id]
	if c == nil || c.state == Established || c.state == Ended {
		return false
	}
	x.post(decide.ClientGone{ID: id})
	c.answerFinally(Answer{Kind: Failed, Cause: decide.TimedOut, decidedBy: recorder.Backstop})
	return true
}

// migrate asks the server side to send a client away politely.
func (x *RequestTable) migrate(id decide.RequestID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.requests[id]; c != nil {
		c.migrate(recorder.Module)
	}
}

func (c *Request) migrate(by recorder.Initiator) {
	if c.state == Established && !c.migrating {
		c.migrating = true
		if c.table.Recorder != nil {
			c.table.Recorder.Put(&recorder.Record{At: c.table.Clock.NowMillis(), Kind: recorder.ClientMigrated, Request: uint64(c.ID), Server: int32(c.attempt.Server.Number), Initiator: by})
		}
		c.serverConn.Wake()
	}
}

// cancelAttempt stops the wait for an attempt.
func (x *RequestTable) cancelAttempt(id decide.RequestID, no int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.requests[id]; c != nil && c.state == Attempting && c.attempt.Number == no {
		c.canceled = true
		if c.serverConn != nil {
			c.serverConn.Close(GracefulClose)
		}
	}
}
