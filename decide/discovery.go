package decide

import "time"

// firstCall is the id of the timer for the first call to discovery.
const firstCall = 1

// turns is how long all relays take to call discovery, which works through calls in turn, those given up too.
func (b *Balancer) turns() time.Duration {
	return min(b.set.Rules.AskWithin/callsAWhile*time.Duration(b.set.Relays), b.set.Rules.AskWithin*3/4)
}

// askInTurn sets when the first call to discovery is made: all relays may have started at once.
func (b *Balancer) askInTurn() {
	b.first = true
	b.wake(wakeDiscovery, firstCall, time.Duration(b.jitter*float64(b.turns())))
}

// askSooner makes the first call to discovery before its turn, once: there is a request, and no backend that may be
// given it before discovery is heard. So a relay that starts alone is not kept waiting for the turns of a fleet.
func (b *Balancer) askSooner() {
	if b.first && !b.sooner && b.listed() == 0 {
		b.sooner = true
		b.wake(wakeDiscovery, firstCall, time.Duration(b.rng.Float64()*float64(b.turns()/2)))
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
