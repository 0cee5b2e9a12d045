package decide

import "time"

const (
	// loadCheckInterval is the time within which a server that holds own connections is checked again. The
	// timer runs for half of it plus, by the relay's phase, up to a quarter of it.
	loadCheckInterval = 2 * time.Second
	// loadCheckThreshold is the mean load, 0 to 1, of the pool, or the load of a server, above which servers
	// that hold own connections are checked.
	loadCheckThreshold = 0.5
	// rebalanceTriggerLoad is the load above which a server is overloaded.
	rebalanceTriggerLoad = 0.85
	// triggerLoadWithoutDelayReports is the same where no message delays are reported. It is lower, as
	// nothing else shows an overload in time.
	triggerLoadWithoutDelayReports = (rebalanceTriggerLoad + rebalanceTargetLoad) / 2
	// rebalanceTargetLoad is the load that migrations reduce an overloaded server to, and that no target of
	// migrations may exceed.
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
	loadCheckScheduled bool
}

// scheduleLoadCheck sets the timer of checkLoad while there are own connections.
func (b *rebalancer) scheduleLoadCheck() {
	if b.loadCheckScheduled || b.requests.ownConnections == 0 {
		return
	}
	b.loadCheckScheduled = true
	offset := time.Duration(b.timerPhase * float64(loadCheckInterval/4))
	b.setTimer(timerLoadCheck, 0, loadCheckInterval/2+offset)
}

// checkLoad checks the load of the servers that hold own connections.
func (b *rebalancer) checkLoad() {
	b.loadCheckScheduled = false
	for i := range b.endpoints.servers {
		s := &b.endpoints.servers[i]
		if len(s.connections) == 0 || !b.needsLoadCheck(s) {
			continue
		}
		if b.fleet.status.SharesReadings && b.pool.isFresh(s) {
			b.rebalanceServer(ServerID(i), s)
		} else {
			b.pool.sendProbe(ServerID(i))
		}
	}
	b.scheduleLoadCheck()
}

// recordProbeResult rebalances the server of a probe's result if it holds own connections. A server that
// answers probes with errors still serves its connections and is left alone.
func (b *rebalancer) recordProbeResult(e ProbeResult) {
	s := b.endpoints.stateOf(e.Server)
	if len(s.connections) > 0 && (e.Status == OK || s.health.unansweredProbes > 0) {
		b.rebalanceServer(e.Server, s)
	}
}

// needsLoadCheck reports whether a server may be overloaded. Where message delays are not reported, a server
// in an idle pool is checked too if it is busy or has no reported load.
func (b *rebalancer) needsLoadCheck(s *serverState) bool {
	if b.pool.poolLoadMean > loadCheckThreshold {
		return true
	}
	if b.settings.ReportsMessageDelay {
		return false
	}
	return s.reading.load == 0 || s.reading.loadGuessed || b.load.estimatedLoad(s) > loadCheckThreshold
}

// rebalanceServer checks a server that holds own connections, and migrates its excess. Of an overload that
// all relays see, each migrates only its own fraction, drawn at random; from a silent server, each relay
// migrates all its connections after its own probe. A relay that holds few connections has few readings, so
// it has other servers probed first.
func (b *rebalancer) rebalanceServer(id ServerID, s *serverState) {
	if s.health.unansweredProbes > 0 && !s.health.silent() {
		b.pool.sendProbe(id)
		return
	}
	excess := b.excessFraction(s)
	if excess == 0 {
		return
	}
	s.excessConnections = int(excess*float64(len(s.connections)) + b.rng.Float64())
	if s.excessConnections == 0 {
		return
	}
	if r := b.requests.requests[s.connections[0]]; r != nil && b.dispatch.probeCandidates(r.Group) > 0 {
		b.setTimer(timerMigrate, uint64(id), min(b.pool.probeWait(), readingTTL/4))
		return
	}
	b.migrateExcess(id, s)
}

// excessFraction is the fraction, 0 to 1, of a server's connections that are to migrate: all of them if the
// server is silent.
func (b *rebalancer) excessFraction(s *serverState) float64 {
	load := b.load.estimatedLoad(s) // excludes connections closed since the reading
	messagesLate := b.now < s.reading.messagesLateUntil
	switch {
	case s.health.silent():
		return 1
	case s.reading.load > rebalanceTriggerLoad && messagesLate:
		return (s.reading.load - rebalanceTargetLoad) / s.reading.load
	case !b.settings.ReportsMessageDelay && load > triggerLoadWithoutDelayReports:
		return (load - rebalanceTargetLoad) / load
	}
	return 0
}

// migrateExcess migrates a server's excess connections as long as there is a server with a load of at most
// rebalanceTargetLoad. If all servers look overloaded, connections stay where they are.
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
