package relay

import "capersail/internal/observe/recorder"

// This file holds what operators ask of a relay: a drain, and servers to be ejected manually.

// SetDraining starts or ends an operator's drain: while it lasts the relay is not ready, rejects new
// requests with a Retry-After, and migrates a client as soon as its request is established. MigrateClients
// migrates those that are established already.
func (t *RequestTable) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainedManually = on
}

// Draining tells whether an operator's drain is on.
func (t *RequestTable) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainedManually
}

// AcceptingClients tells whether the relay takes new clients: it is neither drained nor shutting down.
func (t *RequestTable) AcceptingClients() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.rejecting()
}

// rejecting tells whether new requests are to be rejected. The caller holds the lock.
func (t *RequestTable) rejecting() bool { return t.shuttingDown || t.drainedManually }

// SetManualEjections takes the ids of the servers that are ejected manually, all of them. To the decision
// module such a server drains, so it gets nothing new, and the check before an attempt's first byte holds
// for it as for a drain; established clients there are migrated, since the server is to restart. A server
// that is not ejected any more counts as the endpoint list has it.
func (t *RequestTable) SetManualEjections(ids map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event := t.endpoints.setManualEjections(ids)
	if len(event.Endpoints) == 0 {
		return
	}
	t.post(event)
	if t.Recorder != nil {
		t.recordEndpointChanges()
	}
	for _, r := range t.requests.byID {
		s := r.latest.currentServer()
		if s == nil || !s.ejectedManually {
			continue
		}
		switch {
		case r.state == Established:
			r.migrate(recorder.Operator)
		case r.latest.inFlight && r.latest.conn != nil:
			r.latest.conn.Wake()
		}
	}
}
