package relay

import (
	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds the methods by which a claim tells a call whether this relay may serve its stream.

// Claimed says that the stream is this relay's: the call goes to the module, as any that comes back. It is
// false if it waits for that no more.
func (c *Call) Claimed() bool {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	switch {
	case c.state != Claiming:
		return false
	case guard.MayStart(c.x.refusing(), false) != guard.Allowed:
		c.end(c.x.advised(c.x.elsewhere()))
		return false
	}
	c.state = Held
	c.x.post(c.request())
	return true
}

// Unclaimed says that it is not.
func (c *Call) Unclaimed(a Answer) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if c.state == Claiming {
		c.end(c.x.advised(a))
	}
}

// Lapse says that the claim may be lost: the call is ended politely, and nothing goes out for it any more.
func (c *Call) Lapse(after float64) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	c.lapsed = true
	switch c.state {
	case Held, Trying:
		a := Answer{Kind: Refused, RetryAfter: after}
		if guard.MayRefuse(c.guarded(true)) != guard.Allowed {
			a = Answer{Kind: Failed}
		}
		c.x.post(decide.Gone{ID: c.ID})
		c.end(c.x.advised(a))
	case Claiming:
		c.end(c.x.advised(Answer{Kind: Refused, RetryAfter: after}))
	case Up:
		c.move(recorder.Claim)
	}
}
