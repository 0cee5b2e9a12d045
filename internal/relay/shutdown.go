package relay

import "capersail/internal/observe/recorder"

// BeginShutdown begins a graceful shutdown, which cannot be undone. From then on new requests are rejected,
// and each client is migrated as soon as its request is established.
func (t *RequestTable) BeginShutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shuttingDown = true
}

// ShuttingDown reports whether a graceful shutdown has begun.
func (t *RequestTable) ShuttingDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shuttingDown
}

// MigrateClients migrates up to n established clients. It returns the number of requests that at least one
// side has not finished with.
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

// AnswerAllPending gives every unanswered request its final answer, just before the process ends. Requests
// are rejected, which promises that a retry is harmless. A request that may have been executed and must not
// be executed twice is failed instead.
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
