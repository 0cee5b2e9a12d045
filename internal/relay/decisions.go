package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file carries out the actions of the decision module that concern requests. Only the event loop calls
// these methods.

// startAttempt starts the next attempt of a request if the guard permits it. Otherwise it notifies the
// decision module that the attempt is superseded. candidates are the servers that the module chose from; they
// are recorded.
func (t *RequestTable) startAttempt(f decide.Forward, candidates []decide.PooledServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, s := t.requests.byID[f.ID], t.endpoints.byNumber(f.Server)
	if !t.permitAttempt(r, s) {
		t.post(decide.Outcome{
			ID:     f.ID,
			Server: f.Server,
			Status: decide.Superseded,
			Closed: r == nil || r.state != Queued,
			Report: decide.NoLoadReport,
		})
		return
	}
	r.startAttempt(s, f.Timeout)
	if t.Recorder != nil {
		r.recordPlacement(candidates)
	}
}

// permitAttempt asks the guard whether an attempt may be started, and records a denial. r is nil if the
// request has ended; then it returns false. The caller holds the lock.
func (t *RequestTable) permitAttempt(r *Request, s *Server) bool {
	if r == nil {
		return false
	}
	denial := r.mayAttempt(s)
	if denial != guard.Allowed {
		r.recordDenial(denial, s)
	}
	return denial == guard.Allowed
}

// answer gives a request the decision module's final answer. It does nothing if the request is already
// established or has ended.
func (t *RequestTable) answer(id decide.RequestID, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests.byID[id]
	if r == nil || guard.MayAnswer(r.state == Ended, r.state == Established) != guard.Allowed {
		return
	}
	if a.Kind == Rejected && !r.mayReject() {
		r.recordViolation(guard.RejectOnlyIfRetryHarmless, nil)
		a.Kind = Failed
	}
	t.counters.countReason(a.reason)
	r.setFinalAnswer(a)
}

// failOverdue is the backstop for the decision module: it fails a request that is still unanswered
// backstopDelay after its deadline. It reports whether the request was unanswered.
func (t *RequestTable) failOverdue(id decide.RequestID) (overdue bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests.byID[id]
	if r == nil || r.state == Established || r.state == Ended {
		return false
	}
	t.post(decide.ClientGone{ID: id})
	r.setFinalAnswer(Answer{Kind: Failed, Cause: decide.TimedOut, decidedBy: recorder.BackstopDeadline})
	return true
}

// migrate makes the server side migrate a client to another server.
func (t *RequestTable) migrate(id decide.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests.byID[id]; r != nil {
		r.migrate(recorder.Module)
	}
}

// cancelAttempt cancels an attempt that is in flight and not yet established.
func (t *RequestTable) cancelAttempt(id decide.RequestID, attempt int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests.byID[id]
	if r == nil || r.state != Attempting || r.lastAttempt.Number != attempt {
		return
	}
	r.lastAttempt.canceled = true
	if r.lastAttempt.conn != nil {
		r.lastAttempt.conn.Close(GracefulClose)
	}
}

// probe probes a server and passes the result to the decision module.
func (t *RequestTable) probe(id decide.ServerID) {
	t.mu.Lock()
	s := *t.endpoints.servers[id]
	t.mu.Unlock()
	began := t.Clock.Now()
	t.dialer.Probe(s, func(status decide.Status, report decide.LoadReport) {
		t.mu.Lock()
		defer t.mu.Unlock()
		result := decide.ProbeResult{
			Server:  id,
			Status:  status,
			Latency: (t.Clock.Now() - began).Round(decisionPrecision),
			Report:  report,
		}
		if t.Recorder != nil {
			t.recordProbe(result)
		}
		t.post(result)
	})
}
