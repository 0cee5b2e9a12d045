package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the methods by which a claim tells a call whether this relay may serve its stream.

// OwnershipAcquired says that the stream is this relay's: the call goes to the module, as any that comes back. It is
// false if it waits for that no more.
func (c *Request) OwnershipAcquired() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	switch {
	case c.state != AwaitingOwnership:
		return false
	case guard.MayAccept(c.table.rejecting(), false) != guard.Allowed:
		c.answerFinally(c.table.applyRetryAfterSetting(c.table.shutdownRejection()))
		return false
	}
	c.state = Queued
	c.table.post(c.decisionRequest())
	return true
}

// OwnershipDenied says that it is not.
func (c *Request) OwnershipDenied(a Answer) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.state == AwaitingOwnership {
		c.answerFinally(c.table.applyRetryAfterSetting(a))
	}
}

// LoseOwnership says that the claim may be lost: the call is ended politely, and nothing goes out for it any more.
func (c *Request) LoseOwnership(after float64) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.ownershipLost = true
	switch c.state {
	case Queued, Attempting:
		a := Answer{Kind: Rejected, RetryAfter: after}
		if guard.MayReject(c.guardFacts(true)) != guard.Allowed {
			a = Answer{Kind: Failed}
		}
		c.table.post(decide.ClientGone{ID: c.ID})
		c.answerFinally(c.table.applyRetryAfterSetting(a))
	case AwaitingOwnership:
		c.answerFinally(c.table.applyRetryAfterSetting(Answer{Kind: Rejected, RetryAfter: after}))
	case Established:
		c.migrate(recorder.OwnershipLost)
	}
}
