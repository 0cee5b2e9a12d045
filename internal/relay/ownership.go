package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file contains the methods by which an ownership lease notifies a request whether this relay may serve
// its stream.

// OwnershipAcquired reports that this relay owns the stream. The request is passed to the decision module
// like any other. It returns false if the request no longer waits for its lease, or is rejected because the
// relay is draining or shutting down.
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

// OwnershipDenied reports that this relay does not get the ownership of the stream. a is the answer for the
// client.
func (r *Request) OwnershipDenied(a Answer) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == AwaitingOwnership {
		r.setFinalAnswer(r.table.applyRetryAfterSetting(a))
	}
}

// OwnershipLost reports that the lease may be lost. From then on nothing is sent to a server for the request.
// An unanswered request is answered, with retryAfter if it is rejected; the client of an established request
// is migrated.
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
