package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the methods by which a claim tells a call whether this relay may serve its stream.

// OwnershipAcquired says that the stream is this relay's: the call goes to the module, as any that comes back. It is
// false if it waits for that no more.
func (r *Request) OwnershipAcquired() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	switch {
	case r.state != AwaitingOwnership:
		return false
	case guard.MayAccept(r.table.rejecting(), false) != guard.Allowed:
		r.answerFinally(r.table.applyRetryAfterSetting(r.table.shutdownRejection()))
		return false
	}
	r.state = Queued
	r.table.post(r.decisionRequest())
	return true
}

// OwnershipDenied says that it is not.
func (r *Request) OwnershipDenied(a Answer) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == AwaitingOwnership {
		r.answerFinally(r.table.applyRetryAfterSetting(a))
	}
}

// LoseOwnership says that the claim may be lost: the call is ended politely, and nothing goes out for it any more.
func (r *Request) LoseOwnership(after float64) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.ownershipLost = true
	switch r.state {
	case Queued, Attempting:
		a := Answer{Kind: Rejected, RetryAfter: after}
		if guard.MayReject(r.guardFacts(true)) != guard.Allowed {
			a = Answer{Kind: Failed}
		}
		r.table.post(decide.ClientGone{ID: r.ID})
		r.answerFinally(r.table.applyRetryAfterSetting(a))
	case AwaitingOwnership:
		r.answerFinally(r.table.applyRetryAfterSetting(Answer{Kind: Rejected, RetryAfter: after}))
	case Established:
		r.migrate(recorder.OwnershipLost)
	}
}
