package decide

import "time"

const (
	// probesPerPlacement is how many fresh readings a placement wants to choose from.
	probesPerPlacement = 4
	// readingFreshFor is how old a reading may be that a placement goes by. A probe whose result has not come
	// for as long is taken for lost.
	readingFreshFor = time.Second
	// firstProbeRoundTrip is what a probe is taken to need before one has been answered.
	firstProbeRoundTrip = time.Second
	// prunePause is how long a large pool may keep readings that have become too old: to go through all of it
	// for each request would cost more than all else.
	prunePause = readingFreshFor / 16
	// delayNoteInterval is the time within which the next late message is reported, as long as they are late.
	delayNoteInterval = 1100 * time.Millisecond
)

// probePool holds the servers with a usable reading, and sends the probes that keep it.
//
// Invariant: a server is in it once, exactly while inPool is set.
type probePool struct {
	*environment
	endpoints        *endpointSet
	fleet            *fleetView
	load             *loadModel
	outliers         *outlierRule
	pool             []ServerID    // some may have no reading any more, until the next prune
	poolLoadMean     float64       // of the readings in it, when it was last pruned
	poolPrunedAt     time.Duration // when that was
	pooledInHomeZone int           // how many of it were in this relay's zone
	probeRTT         time.Duration // the longest that probes take of late
}

// sendProbe asks a server for its load, unless that is under way.
func (p *probePool) sendProbe(id ServerID) {
	if s := &p.endpoints.servers[id]; p.now >= s.probePendingUntil {
		s.probePendingUntil = p.now + readingFreshFor
		p.emit(Probe{Server: id})
	}
}

// probeWait is how long a placement waits for the results of probes: two round trips.
func (p *probePool) probeWait() time.Duration { return 2*p.probeRTT + 2*p.settings.Tick }

// topUpReadings probes up to n servers of a zone's list or of a subset, at random or in order, and returns
// how many results are worth waiting for. An ejected server met on the way is probed too once its time is
// up, but nobody waits for it.
func (p *probePool) topUpReadings(list []ServerID, n int, random bool) (awaited int) {
	for i := 0; i < len(list) && awaited < n; i++ {
		if random {
			p.endpoints.swapInZone(list, i, i+p.rng.IntN(len(list)-i))
		}
		s := &p.endpoints.servers[list[i]]
		if s.health.inBackoff(p.now) || p.isFresh(s) {
			continue
		}
		p.sendProbe(list[i])
		if !s.health.ejected {
			awaited++
		}
	}
	return awaited
}

// topUpHomeZone has as many servers of this relay's zone probed as the pool lacks of them.
func (p *probePool) topUpHomeZone() (awaited int) {
	home := p.endpoints.serversByZone[p.settings.Zone]
	return p.topUpReadings(home, probesPerPlacement-p.pruneStaleReadings(), true)
}

// readingMaxAge is how old a reading may be that a placement goes by: one that is passed on is older, and
// comes unasked.
func (p *probePool) readingMaxAge() time.Duration {
	if p.fleet.status.SharesReadings {
		return 2 * readingFreshFor
	}
	return readingFreshFor
}

// isFresh tells whether a placement may go by the server's reading.
func (p *probePool) isFresh(s *serverState) bool {
	return s.reading.usable() && p.now-s.reading.at <= p.readingMaxAge()
}

// pruneStaleReadings drops what is too old from the pool and returns how many servers of this relay's zone
// are left.
func (p *probePool) pruneStaleReadings() int {
	if len(p.pool) > maxCandidates && p.now-p.poolPrunedAt < prunePause {
		return p.pooledInHomeZone
	}
	inHomeZone, sum, kept := 0, 0.0, p.pool[:0]
	for _, id := range p.pool {
		s := &p.endpoints.servers[id]
		if !p.isFresh(s) {
			s.inPool = false
			continue
		}
		kept = append(kept, id)
		sum += s.reading.load
		if s.Zone == p.settings.Zone {
			inHomeZone++
		}
	}
	p.pool = kept
	if len(kept) > 0 {
		p.poolLoadMean = sum / float64(len(kept))
	}
	p.poolPrunedAt, p.pooledInHomeZone = p.now, inHomeZone
	return inHomeZone
}

// recordProbeResult takes in a probe's result.
func (p *probePool) recordProbeResult(e ProbeResult) {
	s := p.endpoints.stateOf(e.Server)
	s.probePendingUntil = 0
	switch e.Status {
	case OK:
		p.outliers.recordProbeSuccess(s, e.Report.Load, p.poolLoadMean)
		s.reading.dropReported(p.now - loadReportDelay)
		p.probeRTT = max(e.Latency, p.probeRTT-p.probeRTT/4)
		p.recordReading(e.Server, s, e.Report, e.Latency)
	case AtCapacity, Superseded: // too many probes; it says nothing of its health
	default:
		p.outliers.recordProbeFailure(s, e.Status)
	}
}

// recordReading takes in a load report, which a probe of that latency brought, or gossip (0). The server
// joins the pool if it may be given something.
func (p *probePool) recordReading(id ServerID, s *serverState, report LoadReport, latency time.Duration) {
	p.load.setReading(s, report, latency)
	if s.health.ejected || s.zoneIndex < 0 {
		return
	}
	s.reading.at = p.now
	if !s.inPool {
		s.inPool = true
		p.pool = append(p.pool, id)
	}
}

// recordGossip takes in what another relay read, a reading with an age, or what it placed. A reading does not
// take back a server that this relay has ejected.
func (p *probePool) recordGossip(e GossipReading) {
	s, takenAt := p.endpoints.stateOf(e.Server), p.now-e.Age
	if e.PlacementDelta != 0 {
		if takenAt+loadReportDelay > s.reading.at {
			s.reading.recordPeerPlacements(e.PlacementDelta, takenAt)
		}
		return
	}
	if s.health.ejected || s.zoneIndex < 0 || takenAt <= s.reading.at {
		return
	}
	s.reading.dropReported(takenAt - loadReportDelay)
	p.recordReading(e.Server, s, e.Report, 0)
	s.reading.at = takenAt
}

// recordMessageDelay notes how long a message of a connection takes. One that is later than its class's
// objective has its server count as full for a while; of a class without an objective none is late.
func (p *probePool) recordMessageDelay(e MessageDelay, r *request) {
	objective := p.class(r).MessageLatencyObjective
	if objective <= 0 || e.Delay <= objective {
		return
	}
	p.endpoints.stateOf(e.Server).reading.messagesLateUntil = p.now + delayNoteInterval
	p.sendProbe(e.Server)
}
