package relay

import "capersail/internal/observe/recorder"

// This file contains the actions that operators can request: draining the relay, and ejecting servers
// manually.

// SetDraining starts or ends a drain by an operator. During a drain the relay is not ready, rejects new
// requests with a Retry-After, and migrates each client as soon as its request is established. Clients that
// were established before are migrated by MigrateClients.
func (t *RequestTable) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainedManually = on
}

// Draining reports whether the relay is being drained by an operator.
func (t *RequestTable) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainedManually
}

// AcceptingClients reports whether the relay accepts new clients: it is neither being drained nor shutting
// down.
func (t *RequestTable) AcceptingClients() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.rejecting()
}

// rejecting reports whether the relay rejects new requests. The caller holds the lock.
func (t *RequestTable) rejecting() bool { return t.shuttingDown || t.drainedManually }

// SetManualEjections replaces the set of servers that are ejected manually, given by their ids. The decision
// module sees an ejected server as draining, so the server gets no new requests, and the check before an
// attempt's first byte treats it like a draining server. Clients established at it are migrated, because
// operators eject a server in order to restart it. A server that is no longer ejected has the state from the
// endpoint list again.
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
		s := r.lastAttempt.currentServer()
		if s == nil || !s.ejectedManually {
			continue
		}
		switch {
		case r.state == Established:
			r.migrate(recorder.Operator)
		case r.lastAttempt.inFlight && r.lastAttempt.conn != nil:
			r.lastAttempt.conn.Wake()
		}
	}
}
