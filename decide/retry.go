package decide

import (
	"slices"
	"time"
)

// This file decides what follows a failed attempt: another one after a back-off, or the final answer.

// setupTimeout is the percentile of set-up times that leaves the tolerable rate of false time-outs, padded where
// it lies near the median; before there are samples the class's aim. It doubles with each other one in a row.
func (b *Balancer) setupTimeout(r *request) time.Duration {
	left, limit := r.deadline-b.now, b.settings.Classes[r.Class].LatencyObjective
	if r.attempts > 1 || r.attempts >= b.settings.MaxAttempts {
		return left // the last try may take all that is left
	}
	if n := len(b.setupLatencies); n >= setupLatenciesKept/8 {
		sorted := slices.Sorted(slices.Values(b.setupLatencies))
		high, median := sorted[min(n-1, int(float64(n)*(1-tolerableFalseTimeouts)))], sorted[n/2]
		limit = max(high, minTimeoutOverMedian*median, b.settings.ConnectTimeout)
	}
	limit <<= min(b.consecutiveSetupTimeouts/failuresBeforeReaction, 4) // nothing comes in time any more: the time-out is wrong, not they
	return min(limit, left)
}

func (b *Balancer) recordOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || r.attempts == 0 {
		return
	}
	s, was := b.stateOf(e.Server), r.phase
	b.removeConnection(r)
	switch e.Status {
	case Errored, ConnectFailed, TimedOut, Reset: // a failing backend leaves the pool at once
		if was == phaseInFlight || e.Status == Reset {
			b.recordFault(s, e.Status)
		}
	case AtCapacity: // no reading said so; it is out until the next
		s.readAt = -1
	}
	if e.Closed || was == phaseDone || was == phaseOpen {
		b.endRequest(r)
		return
	}
	if !e.Status.NeverRan() && r.mayHaveRunOn < 0 && b.settings.Classes[r.Class].Idempotency != Idempotent {
		r.mayHaveRunOn, r.mayHaveRunAt = e.Server, r.lastSentAt
	}
	b.retryOrReject(r)
}

// recordFault marks a backend as bad. One that errs fast looks idle and answers probes well, so it is also
// left out for a time that doubles with each failure.
func (b *Balancer) recordFault(s *serverState, why Status) {
	b.ejectServer(s, why)
	if why == TimedOut {
		b.consecutiveSetupTimeouts++
	} else if why == Errored {
		s.consecutiveErrors++
		s.ejectedUntil = b.now + b.jitteredBackoff(ejectionBackoff, s.consecutiveErrors, time.Minute)
	}
}

// ejectServer takes a failing backend out of the pool at once. One that died comes back cold before the list tells.
func (b *Balancer) ejectServer(s *serverState, why Status) {
	s.ejected, s.readAt = true, -1
	if why == ConnectFailed {
		s.startSlowStart(b.now)
	}
}

// retryOrReject gives a failed set-up its one more try, if the class, the clock and the tenant's bucket allow it.
func (b *Balancer) retryOrReject(r *request) {
	wait := b.jitteredBackoff(b.settings.Classes[r.Class].LatencyObjective/4, r.attempts-1, (r.deadline-b.now)/4)
	unsafe := r.mayHaveRunOn >= 0 && b.settings.Classes[r.Class].Idempotency == NonIdempotent
	late := r.deadline-b.now < 4*b.settings.Tick
	switch {
	case unsafe:
		b.rejectRequest(r, MayHaveRun)
	case late:
		b.rejectRequest(r, DeadlineNear)
	case r.attempts >= min(2, b.settings.MaxAttempts):
		b.rejectRequest(r, AttemptsExhausted)
	case b.retryTokens[r.Tenant] < 1:
		b.rejectRequest(r, RetryBudgetExhausted)
	default:
		b.retryTokens[r.Tenant]--
		r.phase, r.wakeAt = phaseBackoff, b.now+wait
		b.setTimer(timerRequest, uint64(r.ID), wait)
	}
}

// jitteredBackoff is a full-jitter back-off: anything from 0 to a base that doubles with each failure, capped.
func (b *Balancer) jitteredBackoff(base time.Duration, failures int, most time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(min(most, base<<max(0, min(failures, 16)))))
}

// rejectRequest refuses, with a wait that grows with the key's failures here; where a refusal could hide an
// effect it fails.
func (b *Balancer) rejectRequest(r *request, why RejectReason) {
	class := &b.settings.Classes[r.Class]
	n := b.keyFailures.recordFailure(r.Key)
	b.endRequest(r)
	if r.mayHaveRunOn >= 0 && (class.Idempotency == NonIdempotent || class.DedupScope != ScopeAll) {
		b.emit(Fail{ID: r.ID, Reason: why})
		return
	}
	wait := b.jitteredBackoff(class.LatencyObjective/2, n, b.settings.MaxRetryAfter)
	if !b.settings.RetryAfter {
		wait = 0
	}
	b.emit(Reject{ID: r.ID, RetryAfter: wait, Reason: why})
}
