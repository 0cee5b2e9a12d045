package relay

import (
	"capersail/internal/guard"
	"capersail/internal/observe/recorder"
)

// This file holds what a relay does with its calls as it leaves.

// BeginShutdown makes the relay leave: what comes is refused, what comes up is moved at once.
func (t *RequestTable) BeginShutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shuttingDown = true
}

// MigrateSome moves up to n open calls and returns how many calls there still are.
func (t *RequestTable) MigrateSome(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if n > 0 && r.state == Established && !r.migrating {
			r.migrate(recorder.Shutdown)
			n--
		}
	}
	return len(t.requests)
}

// AnswerAllPending gives every call that has none its final answer, at the end of a relay's life. A refusal says
// that trying again is harmless, so it is no answer to what may have run and must not run twice.
func (t *RequestTable) AnswerAllPending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		kind := Rejected
		if guard.MayReject(r.guardFacts(true)) != guard.Allowed {
			kind = Failed
		}
		r.answerFinally(Answer{Kind: kind, decidedBy: recorder.Shutdown})
	}
}
