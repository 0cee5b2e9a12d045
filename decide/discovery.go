package decide

import (
	"slices"
	"time"
)

const (
	firstPollTimer       = 1       // id of the timer for the first call to discovery
	probesAwaitedForList = 1 << 30 // answers to probes wanted by a request that waits for a list: no probe ends its wait
)

// applyWatchEvent follows discovery's list. From the moment a backend is told to drain or to be gone nothing
// new goes to it (rule 3), long before the grace is over.
func (b *Balancer) applyWatchEvent(e WatchEvent) {
	if e.Kind == WatchFailed {
		b.consecutivePollFailures++
		least := max(b.settings.Tick*100, min(b.pollSpread(), pollRetryInterval*3/2)) // beyond 63 relays news goes before turns
		b.setTimer(timerDiscovery, 0, b.jitteredBackoff(least, b.consecutivePollFailures, max(pollRetryInterval, least)))
		return
	}
	switch {
	case e.Kind == Delta || e.Kind == Snapshot: // any list is an answer
		b.consecutivePollFailures = 0
	case e.Kind == Cached && b.settings.MustSubscribe: // a fixed spread, so that all relays starting at once do not ask at once
		b.scheduleFirstPoll()
	}
	if e.Kind == Snapshot || e.Kind == Cached { // who is not in a whole list is gone
		for i := range b.servers {
			b.updateEndpoint(Endpoint{Server: ServerID(i), Zone: b.servers[i].Zone, StartedAt: b.servers[i].StartedAt})
		}
	}
	for _, entry := range e.Endpoints {
		if s := b.stateOf(entry.Server); entry.StartedAt != s.StartedAt && b.now-entry.StartedAt < b.settings.Rules.SlowStartWindow {
			s.startSlowStart(entry.StartedAt)
		}
		b.updateEndpoint(entry)
	}
	b.releaseListWaiters()
}

// pollSpread is how long all relays take to call discovery, which works through calls in turn, those given up too.
func (b *Balancer) pollSpread() time.Duration {
	return min(b.settings.Rules.PollWithin/discoveryCallsPerPollWithin*time.Duration(b.settings.Relays), b.settings.Rules.PollWithin*3/4)
}

// scheduleFirstPoll sets when the first call to discovery is made: all relays may have started at once.
func (b *Balancer) scheduleFirstPoll() {
	b.firstPollPending = true
	b.setTimer(timerDiscovery, firstPollTimer, time.Duration(b.timerPhase*float64(b.pollSpread())))
}

// awaitFirstList holds a request of a relay that has just started until its first list has a backend to use, once
// and for half of the time that is left; false if there is nothing to wait for. The first call to discovery
// is made before its turn: a relay that starts alone is not kept waiting for the turns of a fleet.
func (b *Balancer) awaitFirstList(r *request) bool {
	if b.hadUsableList || r.awaitedFirstList || !b.settings.MustSubscribe {
		return false
	}
	if b.firstPollPending && !b.firstPollExpedited {
		b.firstPollExpedited = true
		b.setTimer(timerDiscovery, firstPollTimer, time.Duration(b.rng.Float64()*float64(b.pollSpread()/2)))
	}
	wait := (r.deadline - b.now) / 2
	if wait < max(b.settings.Tick, b.pollSpread()/2) { // the list would come too late
		return false
	}
	r.awaitedFirstList, r.probesAwaited, r.phase = true, probesAwaitedForList, phaseQueued
	r.wakeAt = b.now + wait
	b.queuedRequests = append(b.queuedRequests, r)
	b.setTimer(timerRequest, uint64(r.ID), wait)
	return true
}

// releaseListWaiters goes on with the requests that wait for the first list.
func (b *Balancer) releaseListWaiters() {
	if b.hadUsableList || b.listedCount() == 0 {
		return
	}
	b.hadUsableList = true
	for _, r := range slices.Clone(b.queuedRequests) {
		if r.awaitedFirstList && r.phase == phaseQueued {
			b.dequeueRequest(r)
			b.probeThenPlace(r)
		}
	}
}

// pollDiscovery makes a call to discovery whose timer has gone off.
func (b *Balancer) pollDiscovery(id uint64) {
	if id == firstPollTimer && !b.firstPollPending { // it has been made sooner
		return
	}
	b.firstPollPending = false
	b.emit(Subscribe{})
}
