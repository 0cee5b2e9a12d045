package relay

import "capersail/internal/observe/recorder"

// BeginShutdown begins a graceful shutdown, for good: new requests are rejected, and a client is migrated
// as soon as its request is established.
func (t *RequestTable) BeginShutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shuttingDown = true
}

// ShuttingDown tells whether a graceful shutdown has begun.
func (t *RequestTable) ShuttingDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shuttingDown
}

// MigrateClients migrates up to n established clients and returns how many requests some side is not done
// with.
func (t *RequestTable) MigrateClients(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests.byID {
		if n > 0 && r.state == Established && !r.connection.migrating {
			r.migrate(recorder.Shutdown)
			n--
		}
	}
	return len(t.requests.byID)
}

// AnswerAllPending gives every request that has none its final answer, at the end of a relay's life. A
// rejection promises that a retry is harmless, so it is no answer to what may have run and must not run
// twice: that fails.
func (t *RequestTable) AnswerAllPending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests.byID {
		kind := Rejected
		if !r.mayReject() {
			kind = Failed
		}
		r.setFinalAnswer(Answer{Kind: kind, decidedBy: recorder.Shutdown})
	}
}
