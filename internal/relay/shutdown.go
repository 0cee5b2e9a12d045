package relay

import (
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds what a relay does with its calls as it leaves.

// BeginShutdown makes the relay leave: what comes is refused, what comes up is moved at once.
func (x *RequestTable) BeginShutdown() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.shuttingDown = true
}

// MigrateSome moves up to n open calls and returns how many calls there still are.
func (x *RequestTable) MigrateSome(n int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.requests {
		if n > 0 && c.state == Established && !c.migrating {
			c.migrate(recorder.Shutdown)
			n--
		}
	}
	return len(x.requests)
}

// AnswerAllPending gives every call that has none its final answer, at the end of a relay's life. A refusal says
// that trying again is harmless, so it is no answer to what may have run and must not run twice.
func (x *RequestTable) AnswerAllPending() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.requests {
		kind := Rejected
		if guard.MayReject(c.guardFacts(true)) != guard.Allowed {
			kind = Failed
		}
		c.answerFinally(Answer{Kind: kind, decidedBy: recorder.Shutdown})
	}
}
