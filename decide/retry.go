package decide

import (
	"slices"
	"time"
)

// This file decides what follows a failed attempt: another one after a back-off, or the final answer.

// timeout is the percentile of set-up times that leaves the tolerable rate of false time-outs, padded where
// it lies near the median; before there are samples the class's aim. It doubles with each other one in a row.
func (b *Balancer) timeout(r *request) time.Duration {
	left, limit := r.deadline-b.now, b.set.Classes[r.Class].Aim
	if r.attempts > 1 || r.attempts >= b.set.MaxAttempts {
		return left // the last try may take all that is left
	}
	if n := len(b.setups); n >= setupsKept/8 {
		sorted := slices.Sorted(slices.Values(b.setups))
		high, median := sorted[min(n-1, int(float64(n)*(1-falseTimeouts)))], sorted[n/2]
		limit = max(high, padOverMedian*median, b.set.ConnectTimeout)
	}
	limit <<= min(b.late/stillFor, 4) // nothing comes in time any more: the time-out is wrong, not they
	return min(limit, left)
}

func (b *Balancer) outcome(e Outcome) {
	r := b.reqs[e.ID]
	if r == nil || r.attempts == 0 {
		return
	}
	s, was := b.server(e.Backend), r.phase
	b.unhold(r)
	switch e.Status {
	case Errored, ConnectFailed, TimedOut, Reset: // a failing backend leaves the pool at once
		if was == sent || e.Status == Reset {
			b.fault(s, e.Status)
		}
	case Full: // no reading said so; it is out until the next
		s.readAt = -1
	}
	if e.Closed || was == done || was == open {
		b.forget(r)
		return
	}
	if !e.Status.NeverRan() && r.ranOn < 0 && b.set.Classes[r.Class].Effect != Safe {
		r.ranOn, r.ranAt = e.Backend, r.sentAt
	}
	b.again(r)
}

// fault marks a backend as bad. One that errs fast looks idle and answers probes well, so it is also
// left out for a time that doubles with each failure.
func (b *Balancer) fault(s *server, why Status) {
	b.leave(s, why)
	if why == TimedOut {
		b.late++
	} else if why == Errored {
		s.errs++
		s.badTill = b.now + b.jittered(errorHold, s.errs, time.Minute)
	}
}

// leave takes a failing backend out of the pool at once. One that died comes back cold before the list tells.
func (b *Balancer) leave(s *server, why Status) {
	s.bad, s.readAt = true, -1
	if why == ConnectFailed {
		s.chill(b.now)
	}
}

// again gives a failed set-up its one more try, if the class, the clock and the tenant's bucket allow it.
func (b *Balancer) again(r *request) {
	wait := b.jittered(b.set.Classes[r.Class].Aim/4, r.attempts-1, (r.deadline-b.now)/4)
	unsafe := r.ranOn >= 0 && b.set.Classes[r.Class].Effect == Unsafe
	late := r.deadline-b.now < 4*b.set.Tick
	switch {
	case unsafe:
		b.turnAway(r, NotAgain)
	case late:
		b.turnAway(r, NoTime)
	case r.attempts >= min(2, b.set.MaxAttempts):
		b.turnAway(r, NoRetry)
	case b.tokens[r.Tenant] < 1:
		b.turnAway(r, NoTokens)
	default:
		b.tokens[r.Tenant]--
		r.phase, r.wakeAt = backoff, b.now+wait
		b.wake(wakeRequest, uint64(r.ID), wait)
	}
}

// jittered is a full-jitter back-off: anything from 0 to a base that doubles with each failure, capped.
func (b *Balancer) jittered(base time.Duration, failures int, most time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(min(most, base<<max(0, min(failures, 16)))))
}

// turnAway refuses, with a wait that grows with the key's failures here; where a refusal could hide an
// effect it fails.
func (b *Balancer) turnAway(r *request, why Why) {
	class := &b.set.Classes[r.Class]
	n := b.keys.add(r.Key)
	b.forget(r)
	if r.ranOn >= 0 && (class.Effect == Unsafe || class.Scope != ScopeAll) {
		b.do(Fail{ID: r.ID, Why: why})
		return
	}
	wait := b.jittered(class.Aim/2, n, b.set.MaxRetryAfter)
	if !b.set.RetryAfter {
		wait = 0
	}
	b.do(Refuse{ID: r.ID, RetryAfter: wait, Why: why})
}
