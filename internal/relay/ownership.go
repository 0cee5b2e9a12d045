package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the methods by which an ownership lease tells a request whether this relay may serve its
// stream.

// OwnershipAcquired says that the stream is this relay's: the request goes to the decision module, as any
// that comes back. It is false if the request no longer waits for that.
func (r *Request) OwnershipAcquired() bool {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	switch {
	case r.state != AwaitingOwnership:
		return false
	case guard.MayAccept(r.table.rejecting(), false) != guard.Allowed:
		r.setFinalAnswer(r.table.applyRetryAfterSetting(r.table.shutdownRejection()))
		return false
	}
	r.state = Queued
	r.table.post(r.decisionRequest())
	return true
}

// OwnershipDenied says that the stream is not this relay's, with the answer for the client.
func (r *Request) OwnershipDenied(a Answer) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == AwaitingOwnership {
		r.setFinalAnswer(r.table.applyRetryAfterSetting(a))
	}
}

// OwnershipLost says that the lease may be lost: nothing is sent for the request any more. One that has no
// answer gets it, with the Retry-After where it is rejected; the client of an established one is migrated.
func (r *Request) OwnershipLost(retryAfter time.Duration) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.ownershipLost = true
	switch r.state {
	case Queued, Attempting:
		a := Answer{Kind: Rejected, RetryAfter: retryAfter}
		if !r.mayReject() {
			a = Answer{Kind: Failed}
		}
		r.table.post(decide.ClientGone{ID: r.ID})
		r.setFinalAnswer(r.table.applyRetryAfterSetting(a))
	case AwaitingOwnership:
		r.setFinalAnswer(r.table.applyRetryAfterSetting(Answer{Kind: Rejected, RetryAfter: retryAfter}))
	case Established:
		r.migrate(recorder.OwnershipLost)
	}
}
