package relay

import (
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds what a relay does with its calls as it leaves.

// Drain makes the relay leave: what comes is refused, what comes up is moved at once.
func (x *Exchange) Drain() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving = true
}

// MoveSome moves up to n open calls and returns how many calls there still are.
func (x *Exchange) MoveSome(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if n > 0 && c.state == Up && !c.moving {
			c.move(recorder.Leaving)
			n--
		}
	}
	return len(x.calls)
}

// FailAll gives every call that has none its final answer, at the end of a relay's life. A refusal says
// that trying again is harmless, so it is no answer to what may have run and must not run twice.
func (x *Exchange) FailAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		kind := Refused
		if guard.MayRefuse(c.guarded(true)) != guard.Allowed {
			kind = Failed
		}
		c.end(Answer{Kind: kind, by: recorder.Leaving})
	}
}
