package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file holds what operators ask of a relay: a drain by hand, tile servers taken out by hand, and the figures.

// ClassCounts are the figures of one class since the process started.
type ClassCounts struct {
	Established uint64 // connections brought up
	Rejected    uint64 // refused: trying again is harmless
	Failed      uint64 // failed
	Attempts    uint64 // attempts whose first byte went to a server: counted as Begin lets it go
}

// requestCounters are the counters, by class. The Exchange's lock guards them.
type requestCounters struct {
	established, rejected, failed, attempts []uint64
	rejections                              [decide.MayHaveRun + 1]uint64 // by the module's reason
}

func newRequestCounters(classes int) requestCounters {
	return requestCounters{established: make([]uint64, classes), rejected: make([]uint64, classes), failed: make([]uint64, classes),
		attempts: make([]uint64, classes)}
}

// increment adds one to a counter of a class. The caller holds the lock.
func (f *requestCounters) increment(counter []uint64, class decide.Class) {
	if class >= 0 && int(class) < len(counter) {
		counter[class]++
	}
}

// countAnswer adds a final answer. The caller holds the lock.
func (f *requestCounters) countAnswer(class decide.Class, kind AnswerKind) {
	switch kind {
	case Rejected:
		f.increment(f.rejected, class)
	case Failed:
		f.increment(f.failed, class)
	}
}

// ClassCounts returns the figures of each class, in the order of the classes' numbers.
func (x *RequestTable) ClassCounts() []ClassCounts {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]ClassCounts, len(x.counters.established))
	for i := range out {
		out[i] = ClassCounts{Established: x.counters.established[i], Rejected: x.counters.rejected[i], Failed: x.counters.failed[i],
			Attempts: x.counters.attempts[i]}
	}
	return out
}

// OpenRequests is how many connections the relay has taken and not ended: those that asked and have no final answer,
// and those that are up.
func (x *RequestTable) OpenRequests() (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.requests {
		if c.state != Ended {
			n++
		}
	}
	return n
}

// Arrivals is how many requests have come since the process started.
func (x *RequestTable) Arrivals() uint64 { return x.arrived.Load() }

// ShuttingDown tells whether the relay is on its way out for good.
func (x *RequestTable) ShuttingDown() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.shuttingDown
}

// EndpointCounts is what the relay knows of the tile servers in the list.
type EndpointCounts struct {
	Listed          int // in the list, ready or draining
	EjectedManually int // of those, out by hand
	Ejected         int // of those that are ready, the ones the module avoids by its own choice
	// Withheld are those that the list calls ready and the guard keeps from what is new.
	Withheld int
}

// EndpointCounts counts the servers in the list.
func (x *RequestTable) EndpointCounts() (c EndpointCounts) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c.Ejected = int(x.ejectedCount.Load())
	for _, s := range x.endpoints.servers {
		if s.listedMode != decide.Removed {
			c.Listed++
			switch {
			case s.ejectedManually:
				c.EjectedManually++
			case s.listedMode == decide.Ready && s.mode != decide.Ready:
				c.Withheld++
			}
		}
	}
	return c
}

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

// HasEndpointList tells whether the relay has a list of servers to go by: a whole one from discovery, or one with entries
// from its configuration.
func (x *RequestTable) HasEndpointList() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endpoints.complete
}

// EverListed tells whether a server of that id has ever been in the list.
func (x *RequestTable) EverListed(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endpoints.byID[id] != nil
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
