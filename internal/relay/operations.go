package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// SetDraining starts or ends a drain by hand: while it lasts the relay is not ready, refuses what comes with a time
// to come again, and moves a call that comes up at once. The calls that are up are moved by MoveSome.
func (t *RequestTable) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainedManually = on
}

// Accepting tells whether the relay takes new clients: it is neither draining nor leaving.
func (t *RequestTable) Accepting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.rejecting()
}

// Draining tells whether a drain by hand is on.
func (t *RequestTable) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainedManually
}

// rejecting tells whether what comes is to be refused. The caller holds the lock.
func (t *RequestTable) rejecting() bool { return t.shuttingDown || t.drainedManually }

// ShuttingDown tells whether the relay is on its way out for good.
func (t *RequestTable) ShuttingDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shuttingDown
}

// SetManualEjections takes the servers that are out by hand, all of them. To the module a server that is out is one that drains,
// so it gets nothing new, and the check before a send's first byte holds for it as for a drain; whoever is up
// there is moved, since the server is to restart. A server that comes back is listed as the list has it.
func (t *RequestTable) SetManualEjections(out map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := decide.WatchEvent{Kind: decide.LocalDelta}
	t.endpoints.ejectedManually = out
	for _, s := range t.endpoints.servers {
		if s.ejectedManually == out[s.ID] {
			continue
		}
		s.ejectedManually = out[s.ID]
		t.endpoints.setMode(s)
		m.Endpoints = append(m.Endpoints, t.endpoints.entry(s))
	}
	if len(m.Endpoints) == 0 {
		return
	}
	t.post(m)
	if t.Recorder != nil {
		t.recordEndpointList(decide.Delta)
	}
	for _, r := range t.requests {
		s := r.attempt.currentServer()
		if s == nil || !s.ejectedManually {
			continue
		}
		switch {
		case r.state == Established:
			r.migrate(recorder.Operator)
		case r.attemptInFlight && r.serverConn != nil:
			r.serverConn.Wake()
		}
	}
}
