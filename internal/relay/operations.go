package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// SetDraining starts or ends a drain by hand: while it lasts the relay is not ready, refuses what comes with a time
// to come again, and moves a call that comes up at once. The calls that are up are moved by MoveSome.
func (x *RequestTable) SetDraining(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.drainedManually = on
}

// Accepting tells whether the relay takes new clients: it is neither draining nor leaving.
func (x *RequestTable) Accepting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.rejecting()
}

// Draining tells whether a drain by hand is on.
func (x *RequestTable) Draining() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.drainedManually
}

// rejecting tells whether what comes is to be refused. The caller holds the lock.
func (x *RequestTable) rejecting() bool { return x.shuttingDown || x.drainedManually }

// ShuttingDown tells whether the relay is on its way out for good.
func (x *RequestTable) ShuttingDown() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.shuttingDown
}

// SetManualEjections takes the servers that are out by hand, all of them. To the module a server that is out is one that drains,
// so it gets nothing new, and the check before a send's first byte holds for it as for a drain; whoever is up
// there is moved, since the server is to restart. A server that comes back is listed as the list has it.
func (x *RequestTable) SetManualEjections(out map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := decide.WatchEvent{Kind: decide.LocalDelta}
	x.endpoints.ejectedManually = out
	for _, s := range x.endpoints.servers {
		if s.ejectedManually == out[s.ID] {
			continue
		}
		s.ejectedManually = out[s.ID]
		x.endpoints.setMode(s)
		m.Endpoints = append(m.Endpoints, x.endpoints.entry(s))
	}
	if len(m.Endpoints) == 0 {
		return
	}
	x.post(m)
	if x.Recorder != nil {
		x.recordEndpointList(decide.Delta)
	}
	for _, c := range x.requests {
		s := c.attempt.currentServer()
		if s == nil || !s.ejectedManually {
			continue
		}
		switch {
		case c.state == Established:
			c.migrate(recorder.Operator)
		case c.attemptInFlight && c.serverConn != nil:
			c.serverConn.Wake()
		}
	}
}
