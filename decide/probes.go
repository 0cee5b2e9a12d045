package decide

import "time"

const (
	// probesPerPlacement is how many fresh readings a placement should choose from.
	probesPerPlacement = 4
	// readingTTL is how old a reading may be for a placement to use it. A probe without a result for this
	// long is taken for lost.
	readingTTL = time.Second
	// initialProbeRTT is the assumed probe latency until a probe has been answered.
	initialProbeRTT = time.Second
	// minPruneInterval is how long stale readings may stay in a large pool: to scan a large pool for each
	// request would dominate the cost of a placement.
	minPruneInterval = readingTTL / 16
	// lateMessageReportInterval is the time within which MessageDelay is reported again while messages stay
	// late.
	lateMessageReportInterval = 1100 * time.Millisecond
)

// probePool holds the servers with a usable reading, and sends the probes that refresh the readings.
//
// Invariant: a server is in the pool exactly once if inPool is set, else not at all.
type probePool struct {
	*environment
	endpoints           *endpointSet
	fleet               *fleetView
	load                *loadModel
	outliers            *outlierRule
	pool                []ServerID    // some entries may have a stale reading until the next prune
	poolLoadMean        float64       // mean load of the readings at the last prune
	poolPrunedAt        time.Duration // time of the last prune
	pooledHomeZoneCount int           // servers of this relay's zone in the pool at the last prune
	probeRTT            time.Duration // recent maximum of probe latencies, decaying
}

// sendProbe probes a server, unless a probe of it is pending.
func (p *probePool) sendProbe(id ServerID) {
	if s := &p.endpoints.servers[id]; p.now >= s.probePendingUntil {
		s.probePendingUntil = p.now + readingTTL
		p.emit(Probe{Server: id})
	}
}

// probeWait is how long a placement waits for probe results: two round trips.
func (p *probePool) probeWait() time.Duration { return 2*p.probeRTT + 2*p.settings.Tick }

// refreshReadings probes up to n servers without a fresh reading, from a zone's list in random order or from
// a subset in its order, and returns how many results to wait for. An ejected server on the way is probed too
// once its backoff is over, but its result is not waited for.
func (p *probePool) refreshReadings(list []ServerID, n int, random bool) (awaited int) {
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

// refreshHomeZone probes as many servers of this relay's zone as the pool lacks for a placement.
func (p *probePool) refreshHomeZone() (awaited int) {
	home := p.endpoints.serversByZone[p.settings.Zone]
	return p.refreshReadings(home, probesPerPlacement-p.pruneStaleReadings(), true)
}

// readingMaxAge is how old a reading may be for a placement to use it. It is longer where relays share
// readings, as these arrive later and without a probe by this relay.
func (p *probePool) readingMaxAge() time.Duration {
	if p.fleet.status.SharesReadings {
		return 2 * readingTTL
	}
	return readingTTL
}

// isFresh reports whether a placement may use the server's reading.
func (p *probePool) isFresh(s *serverState) bool {
	return s.reading.usable() && p.now-s.reading.at <= p.readingMaxAge()
}

// pruneStaleReadings removes servers with stale readings from the pool and returns how many servers of this
// relay's zone are left.
func (p *probePool) pruneStaleReadings() int {
	if len(p.pool) > maxCandidates && p.now-p.poolPrunedAt < minPruneInterval {
		return p.pooledHomeZoneCount
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
	p.poolPrunedAt, p.pooledHomeZoneCount = p.now, inHomeZone
	return inHomeZone
}

// recordProbeResult updates a server's state from a probe's result.
func (p *probePool) recordProbeResult(e ProbeResult) {
	s := p.endpoints.stateOf(e.Server)
	s.probePendingUntil = 0
	switch e.Status {
	case OK:
		p.outliers.recordProbeSuccess(s, e.Report.Load, p.poolLoadMean)
		s.reading.dropReportedChanges(p.now - loadReportDelay)
		p.probeRTT = max(e.Latency, p.probeRTT-p.probeRTT/4)
		p.recordReading(e.Server, s, e.Report, e.Latency)
	case AtCapacity, Superseded: // too many probes; no evidence about the server's health
	default:
		p.outliers.recordProbeFailure(s, e.Status)
	}
}

// recordReading stores a load report that came with a probe of the given latency, or by gossip (latency 0).
// The server joins the pool if it is listed and not ejected.
func (p *probePool) recordReading(id ServerID, s *serverState, report LoadReport, latency time.Duration) {
	p.load.setReadingLoad(s, report, latency)
	if s.health.ejected || s.zoneIndex < 0 {
		return
	}
	s.reading.at = p.now
	if !s.inPool {
		s.inPool = true
		p.pool = append(p.pool, id)
	}
}

// recordGossip stores another relay's reading, with its age, or its placements. A shared reading does not end
// the ejection of a server by this relay.
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
	s.reading.dropReportedChanges(takenAt - loadReportDelay)
	p.recordReading(e.Server, s, e.Report, 0)
	s.reading.at = takenAt
}

// recordMessageDelay checks the delay of a connection's message. If it exceeds the class's objective, the
// server counts as full for lateMessageReportInterval. A class without an objective has no late messages.
func (p *probePool) recordMessageDelay(e MessageDelay, r *request) {
	objective := p.class(r).MessageLatencyObjective
	if objective <= 0 || e.Delay <= objective {
		return
	}
	p.endpoints.stateOf(e.Server).reading.messagesLateUntil = p.now + lateMessageReportInterval
	p.sendProbe(e.Server)
}
