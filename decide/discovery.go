package decide

import (
	"slices"
	"time"
)

const (
	firstCall  = 1       // id of the timer for the first call to discovery
	awaitsList = 1 << 30 // answers to probes wanted by a request that waits for a list: no probe ends its wait
)

// members follows discovery's list. From the moment a backend is told to drain or to be gone nothing
// new goes to it (rule 3), long before the grace is over.
func (b *Balancer) members(e Members) {
	if e.Kind == Failed {
		b.asked++
		least := max(b.set.Tick*100, min(b.turns(), askAgain*3/2)) // beyond 63 relays news goes before turns
		b.wake(wakeDiscovery, 0, b.jittered(least, b.asked, max(askAgain, least)))
		return
	}
	switch {
	case e.Kind == Delta || e.Kind == Whole: // any list is an answer
		b.asked = 0
	case e.Kind == Cached && b.set.Ask: // a fixed spread, so that all relays starting at once do not ask at once
		b.askInTurn()
	}
	if e.Kind == Whole || e.Kind == Cached { // who is not in a whole list is gone
		for i := range b.fleet {
			b.enter(Entry{Backend: Backend(i), Zone: b.fleet[i].Zone, Since: b.fleet[i].Since})
		}
	}
	for _, entry := range e.Entries {
		if s := b.server(entry.Backend); entry.Since != s.Since && b.now-entry.Since < b.set.Rules.Cold {
			s.chill(entry.Since)
		}
		b.enter(entry)
	}
	b.listHeard()
}

// turns is how long all relays take to call discovery, which works through calls in turn, those given up too.
func (b *Balancer) turns() time.Duration {
	return min(b.set.Rules.AskWithin/callsAWhile*time.Duration(b.set.Relays), b.set.Rules.AskWithin*3/4)
}

// askInTurn sets when the first call to discovery is made: all relays may have started at once.
func (b *Balancer) askInTurn() {
	b.first = true
	b.wake(wakeDiscovery, firstCall, time.Duration(b.jitter*float64(b.turns())))
}

// awaitList holds a request of a relay that has just started until its first list has a backend to use, once
// and for half of the time that is left; false if there is nothing to wait for. The first call to discovery
// is made before its turn: a relay that starts alone is not kept waiting for the turns of a fleet.
func (b *Balancer) awaitList(r *request) bool {
	if b.usedList || r.awaited || !b.set.Ask {
		return false
	}
	if b.first && !b.sooner {
		b.sooner = true
		b.wake(wakeDiscovery, firstCall, time.Duration(b.rng.Float64()*float64(b.turns()/2)))
	}
	wait := (r.deadline - b.now) / 2
	if wait < max(b.set.Tick, b.turns()/2) { // the list would come too late
		return false
	}
	r.awaited, r.need, r.phase = true, awaitsList, holding
	r.wakeAt = b.now + wait
	b.waiting = append(b.waiting, r)
	b.wake(wakeRequest, uint64(r.ID), wait)
	return true
}

// listHeard goes on with the requests that wait for the first list.
func (b *Balancer) listHeard() {
	if b.usedList || b.listed() == 0 {
		return
	}
	b.usedList = true
	for _, r := range slices.Clone(b.waiting) {
		if r.awaited && r.phase == holding {
			b.unwait(r)
			b.ready(r)
		}
	}
}

// subscribe makes a call to discovery whose timer has gone off.
func (b *Balancer) subscribe(id uint64) {
	if id == firstCall && !b.first { // it has been made sooner
		return
	}
	b.first = false
	b.do(Subscribe{})
}
