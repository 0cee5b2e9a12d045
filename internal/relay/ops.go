package relay

import (
	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// This file holds what operators ask of a relay: a drain by hand, tile servers taken out by hand, and the figures.

// Counts are the figures of one class since the process started.
type Counts struct {
	Answered uint64 // connections brought up
	Deferred uint64 // refused: trying again is harmless
	Errored  uint64 // failed
	Sends    uint64 // attempts whose first byte went to a server: counted as Begin lets it go
}

// figures are the counters, by class. The Exchange's lock guards them.
type figures struct {
	answered, deferred, errored, sends []uint64
	refusals                           [decide.NotAgain + 1]uint64 // by the module's reason
}

func newFigures(classes int) figures {
	return figures{answered: make([]uint64, classes), deferred: make([]uint64, classes), errored: make([]uint64, classes),
		sends: make([]uint64, classes)}
}

// add adds one to a counter of a class. The caller holds the lock.
func (f *figures) add(counter []uint64, class decide.Class) {
	if class >= 0 && int(class) < len(counter) {
		counter[class]++
	}
}

// count adds a final answer. The caller holds the lock.
func (f *figures) count(class decide.Class, kind AnswerKind) {
	switch kind {
	case Refused:
		f.add(f.deferred, class)
	case Failed:
		f.add(f.errored, class)
	}
}

// Counts returns the figures of each class, in the order of the classes' numbers.
func (x *Exchange) Counts() []Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]Counts, len(x.figures.answered))
	for i := range out {
		out[i] = Counts{Answered: x.figures.answered[i], Deferred: x.figures.deferred[i], Errored: x.figures.errored[i],
			Sends: x.figures.sends[i]}
	}
	return out
}

// Current is how many connections the relay has taken and not ended: those that asked and have no final answer,
// and those that are up.
func (x *Exchange) Current() (n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.calls {
		if c.state != Ended {
			n++
		}
	}
	return n
}

// Arrivals is how many requests have come since the process started.
func (x *Exchange) Arrivals() uint64 { return x.arrived.Load() }

// Leaving tells whether the relay is on its way out for good.
func (x *Exchange) Leaving() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leaving
}

// Cluster is what the relay knows of the tile servers in the list.
type Cluster struct {
	Listed  int // in the list, ready or draining
	Banned  int // of those, out by hand
	Shunned int // of those that are ready, the ones the module avoids by its own choice
	// Withheld are those that the list calls ready and the guard keeps from what is new.
	Withheld int
}

// Cluster counts the servers in the list.
func (x *Exchange) Cluster() (c Cluster) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c.Shunned = int(x.shunned.Load())
	for _, s := range x.roster.servers {
		if s.listed != decide.GoneMode {
			c.Listed++
			switch {
			case s.banned:
				c.Banned++
			case s.listed == decide.Ready && s.mode != decide.Ready:
				c.Withheld++
			}
		}
	}
	return c
}

// SetDraining starts or ends a drain by hand: while it lasts the relay is not ready, refuses what comes with a time
// to come again, and moves a call that comes up at once. The calls that are up are moved by MoveSome.
func (x *Exchange) SetDraining(on bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.draining = on
}

// Accepting tells whether the relay takes new clients: it is neither draining nor leaving.
func (x *Exchange) Accepting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.refusing()
}

// Draining tells whether a drain by hand is on.
func (x *Exchange) Draining() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.draining
}

// refusing tells whether what comes is to be refused. The caller holds the lock.
func (x *Exchange) refusing() bool { return x.leaving || x.draining }

// HasList tells whether the relay has a list of servers to go by: a whole one from discovery, or one with entries
// from its configuration.
func (x *Exchange) HasList() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.roster.whole
}

// Known tells whether a server of that id has ever been in the list.
func (x *Exchange) Known(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.roster.byID[id] != nil
}

// Ban takes the servers that are out by hand, all of them. To the module a server that is out is one that drains,
// so it gets nothing new, and the check before a send's first byte holds for it as for a drain; whoever is up
// there is moved, since the server is to restart. A server that comes back is listed as the list has it.
func (x *Exchange) Ban(out map[string]bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	m := decide.Members{Kind: decide.Revised}
	x.roster.out = out
	for _, s := range x.roster.servers {
		if s.banned == out[s.ID] {
			continue
		}
		s.banned = out[s.ID]
		x.roster.setMode(s)
		m.Entries = append(m.Entries, x.roster.entry(s))
	}
	if len(m.Entries) == 0 {
		return
	}
	x.post(m)
	if x.Tap != nil {
		x.tapList(decide.Delta)
	}
	for _, c := range x.calls {
		s := c.attempt.listed()
		if s == nil || !s.banned {
			continue
		}
		switch {
		case c.state == Up:
			c.move(recorder.Operator)
		case c.out && c.remote != nil:
			c.remote.Wake()
		}
	}
}
