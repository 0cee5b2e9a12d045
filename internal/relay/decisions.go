package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file carries out what the decision module wants of calls.

// startAttempt does what the module wants: one more attempt. What the rules forbid is never sent.
func (t *RequestTable) startAttempt(id decide.RequestID, to decide.ServerID, timeout float64, pool []decide.PooledServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if denial := t.mayAttempt(r, to); denial != guard.Allowed {
		t.post(decide.Outcome{ID: id, Server: to, Status: decide.Superseded, Closed: r == nil || r.state != Queued, Report: decide.NoLoadReport})
		return
	}
	r.startAttempt(t.endpoints.servers[to], timeout)
	if t.Recorder != nil {
		r.recordPlacement(pool)
	}
}

// mayAttempt tells whether an attempt of a call that the module wants may be started. The caller holds the lock.
func (t *RequestTable) mayAttempt(r *Request, to decide.ServerID) guard.Denial {
	if r == nil {
		return guard.NotWaiting
	}
	var s *Server
	if to >= 0 && int(to) < len(t.endpoints.servers) {
		s = t.endpoints.servers[to]
	}
	denial := guard.MayAttempt(t.Clock.Now(), r.guardFacts(r.state == Queued), s.guardStatus(), &t.endpointLease)
	if denial != guard.Allowed {
		r.recordDenial(denial, s)
	}
	return denial
}

// answer gives a request the module's final answer. It comes too late for one that is up or ended.
func (t *RequestTable) answer(id decide.RequestID, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil || guard.MayAnswer(r.state == Ended, r.state == Established) != guard.Allowed {
		return
	}
	if a.Kind == Rejected && guard.MayReject(r.guardFacts(true)) != guard.Allowed {
		r.recordViolation(guard.RejectOnlyIfHarmless, nil)
		a.Kind = Failed
	}
	if a.reason != decide.NoReason && a.reason <= decide.MayHaveRun {
		t.counters.rejections[a.reason]++
	}
	r.answerFinally(a)
}

// failOverdue is the backstop behind the module: a request that has no answer well after its deadline fails.
func (t *RequestTable) failOverdue(id decide.RequestID) (late bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil || r.state == Established || r.state == Ended {
		return false
	}
	t.post(decide.ClientGone{ID: id})
	r.answerFinally(Answer{Kind: Failed, Cause: decide.TimedOut, decidedBy: recorder.Backstop})
	return true
}

// migrate asks the server side to send a client away politely.
func (t *RequestTable) migrate(id decide.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[id]; r != nil {
		r.migrate(recorder.Module)
	}
}

func (r *Request) migrate(by recorder.Initiator) {
	if r.state == Established && !r.migrating {
		r.migrating = true
		if r.table.Recorder != nil {
			r.table.Recorder.Put(&recorder.Record{At: r.table.Clock.NowMillis(), Kind: recorder.ClientMigrated, Request: uint64(r.ID), Server: int32(r.attempt.Server.Number), Initiator: by})
		}
		r.serverConn.Wake()
	}
}

// cancelAttempt stops the wait for an attempt.
func (t *RequestTable) cancelAttempt(id decide.RequestID, no int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[id]; r != nil && r.state == Attempting && r.attempt.Number == no {
		r.canceled = true
		if r.serverConn != nil {
			r.serverConn.Close(GracefulClose)
		}
	}
}
