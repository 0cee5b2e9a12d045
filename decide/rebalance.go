package decide

import "time"

// This file decides when connections move away from the backends that hold them.

// scheduleLoadWatch keeps the timer for looking at the backends that hold this relay's connections.
func (b *Balancer) scheduleLoadWatch() {
	if !b.loadWatchScheduled && b.ownConnections > 0 {
		b.loadWatchScheduled = true
		b.setTimer(timerLoadWatch, 0, loadWatchInterval/2+time.Duration(b.timerPhase*float64(loadWatchInterval/4)))
	}
}

// rebalanceServer judges a backend that holds our connections. All relays that see it overdriven move only their
// part of the excess, drawn at random; off a silent one each goes after its own rebalanceServer. Nothing moves
// unless the pool has a better place: if everything looks bad, it is better to stay.
func (b *Balancer) rebalanceServer(id ServerID, s *serverState) {
	part, load := 1.0, b.estimatedLoad(s)
	switch {
	case s.unansweredProbes > 0:
		if s.unansweredProbes < failuresBeforeReaction {
			b.sendProbe(id)
			return
		}
	case s.readLoad > rebalanceTriggerLoad && b.now < s.messagesLateUntil:
		part = (s.readLoad - rebalanceTargetLoad) / s.readLoad
	case !b.settings.ReportsMessageDelay && load > (rebalanceTriggerLoad+rebalanceTargetLoad)/2: // what has left since the reading is not moved again
		part = (load - rebalanceTargetLoad) / load
	default:
		return
	}
	// So many of them, drawn at random. A relay that holds few sees few others: it asks before it moves.
	if s.excessConnections = int(part*float64(len(s.connections)) + b.rng.Float64()); s.excessConnections == 0 {
		return
	}
	if r := b.requests[s.connections[0]]; r != nil && b.probeCandidates(r.Group) > 0 {
		b.setTimer(timerMigrate, uint64(id), min(2*b.probeRTT+2*b.settings.Tick, readingFreshFor/4))
		return
	}
	b.migrateExcess(id, s)
}

// migrateExcess moves a backend's excess where there is a better place.
func (b *Balancer) migrateExcess(id ServerID, s *serverState) {
	n := s.excessConnections
	s.excessConnections = 0
	for i, held := range s.connections {
		r := b.requests[held]
		if r == nil || n < 1 {
			continue
		}
		pick, _ := b.pickCheapest(&request{Request: Request{Group: r.Group}, mayHaveRunOn: -1})
		if pick < 0 || pick == id || b.estimatedLoad(&b.servers[pick]) > rebalanceTargetLoad {
			return
		}
		if r.phase == phaseOpen && b.rng.Float64()*float64(len(s.connections)-i) < float64(n) {
			n--
			b.emit(Migrate{ID: held})
			r.phase = phaseDone
			b.servers[pick].unreportedPlacements = append(b.servers[pick].unreportedPlacements, b.now)
		}
	}
}
