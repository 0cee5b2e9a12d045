package decide

import "time"

const (
	// loadWatchInterval is the time within which a server that holds own connections is checked again. The
	// timer runs after half of it and, by the relay's phase, up to a quarter more.
	loadWatchInterval = 2 * time.Second
	// watchedLoad is the load, 0 to 1, of the pool or of a server beyond which they are checked.
	watchedLoad = 0.5
	// rebalanceTriggerLoad is the load beyond which a server is overloaded.
	rebalanceTriggerLoad = 0.85
	// unreportedTriggerLoad is the same where no message delays are reported: nothing else tells in time.
	unreportedTriggerLoad = (rebalanceTriggerLoad + rebalanceTargetLoad) / 2
	// rebalanceTargetLoad is what an overloaded server is brought down to, and what no other is brought over.
	rebalanceTargetLoad = 0.65
)

// rebalancer decides when open connections migrate away from their servers.
type rebalancer struct {
	*environment
	endpoints          *endpointSet
	requests           *requestTable
	fleet              *fleetView
	pool               *probePool
	load               *loadModel
	placement          *placement
	dispatch           *dispatcher
	loadWatchScheduled bool
}

// scheduleLoadWatch sets the timer of watchLoad, while there are own connections.
func (b *rebalancer) scheduleLoadWatch() {
	if b.loadWatchScheduled || b.requests.ownConnections == 0 {
		return
	}
	b.loadWatchScheduled = true
	offset := time.Duration(b.timerPhase * float64(loadWatchInterval/4))
	b.setTimer(timerLoadWatch, 0, loadWatchInterval/2+offset)
}

// watchLoad checks the load of the servers that hold own connections.
func (b *rebalancer) watchLoad() {
	b.loadWatchScheduled = false
	for i := range b.endpoints.servers {
		s := &b.endpoints.servers[i]
		if len(s.connections) == 0 || !b.needsWatching(s) {
			continue
		}
		if b.fleet.status.SharesReadings && b.pool.isFresh(s) {
			b.rebalanceServer(ServerID(i), s)
		} else {
			b.pool.sendProbe(ServerID(i))
		}
	}
	b.scheduleLoadWatch()
}

// recordProbeResult checks the server of a probe's result, if it holds own connections. One that answers
// with an error still serves them.
func (b *rebalancer) recordProbeResult(e ProbeResult) {
	s := b.endpoints.stateOf(e.Server)
	if len(s.connections) > 0 && (e.Status == OK || s.health.unansweredProbes > 0) {
		b.rebalanceServer(e.Server, s)
	}
}

// needsWatching tells whether a server may be overloaded. Where nothing tells of late messages, one that is
// busy itself or has not been read needs it in an idle pool too.
func (b *rebalancer) needsWatching(s *serverState) bool {
	if b.pool.poolLoadMean > watchedLoad {
		return true
	}
	if b.settings.ReportsMessageDelay {
		return false
	}
	return s.reading.load == 0 || s.reading.loadGuessed || b.load.estimatedLoad(s) > watchedLoad
}

// rebalanceServer checks a server that holds own connections, and has its excess migrate. All relays that
// see it overloaded migrate only their part of the excess, drawn at random; off a silent one each goes
// after its own probe. A relay that holds few connections reads few servers: it has others probed first.
func (b *rebalancer) rebalanceServer(id ServerID, s *serverState) {
	if s.health.unansweredProbes > 0 && !s.health.silent() {
		b.pool.sendProbe(id)
		return
	}
	excess := b.excessPart(s)
	if excess == 0 {
		return
	}
	s.excessConnections = int(excess*float64(len(s.connections)) + b.rng.Float64())
	if s.excessConnections == 0 {
		return
	}
	if r := b.requests.requests[s.connections[0]]; r != nil && b.dispatch.probeCandidates(r.Group) > 0 {
		b.setTimer(timerMigrate, uint64(id), min(b.pool.probeWait(), readingFreshFor/4))
		return
	}
	b.migrateExcess(id, s)
}

// excessPart is the part, 0 to 1, of a server's connections that are to migrate: all of a silent one's.
func (b *rebalancer) excessPart(s *serverState) float64 {
	load := b.load.estimatedLoad(s) // what has left since the reading does not migrate again
	messagesLate := b.now < s.reading.messagesLateUntil
	switch {
	case s.health.silent():
		return 1
	case s.reading.load > rebalanceTriggerLoad && messagesLate:
		return (s.reading.load - rebalanceTargetLoad) / s.reading.load
	case !b.settings.ReportsMessageDelay && load > unreportedTriggerLoad:
		return (load - rebalanceTargetLoad) / load
	}
	return 0
}

// migrateExcess migrates a server's excess connections while there is a better place: if everything looks
// bad, it is better to stay.
func (b *rebalancer) migrateExcess(id ServerID, s *serverState) {
	excess := s.excessConnections
	s.excessConnections = 0
	for i, held := range s.connections {
		r := b.requests.requests[held]
		if r == nil || excess < 1 {
			continue
		}
		pick, _ := b.placement.pickCheapest(&request{Request: Request{Group: r.Group}, mayHaveRunOn: -1})
		if pick < 0 || pick == id {
			return
		}
		target := &b.endpoints.servers[pick]
		if b.load.estimatedLoad(target) > rebalanceTargetLoad {
			return
		}
		left := float64(len(s.connections) - i)
		if r.phase == phaseOpen && b.rng.Float64()*left < float64(excess) {
			excess--
			r.phase = phaseDone
			b.emit(Migrate{ID: held})
			target.reading.recordPlacement(b.now)
		}
	}
}
