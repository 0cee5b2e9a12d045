package decide

import (
	"slices"
	"time"
)

const (
	// loadReportDelay is how long a connection may be open before load reports count it: servers report
	// about once a second.
	loadReportDelay = 700 * time.Millisecond
	// maxLoadOverQuotaMean is the most that a connection is learnt to add, as a multiple of what the quotas
	// make of it: a relay that holds few has seen too little.
	maxLoadOverQuotaMean = 2.5
	// uninformativeConnections is how many own connections at a server tell little of its load.
	uninformativeConnections = 4
	// loadLearningWeight is the weight of a new load report in the means that are learnt from.
	loadLearningWeight = 1.0 / 8
	// peerPlacementsKept bounds what is kept of the other relays' placements at one server.
	peerPlacementsKept = 1024
	// maxUnreported bounds what is kept of own placements, and of closes, at one server that is not read.
	maxUnreported = 1 << 14
	// slowProbeFactor is how many times the usual a probe takes at a server where work is piled up.
	slowProbeFactor = 4
	// guessedLoadLimit is the most that a server without a load report is guessed at, 0 to 1: one that has
	// capacity, but is not a better place to migrate to.
	guessedLoadLimit = rebalanceTargetLoad
)

// reading is the last that is known of a server's load, and what has changed there since.
type reading struct {
	load                     float64         // asked of the server, over its capacity
	at                       time.Duration   // when it was taken, -1 if it may not be used
	loadGuessed              bool            // load comes from no load report
	unreportedPlacements     []time.Duration // when, own placements that the reading may not count yet
	unreportedPeerPlacements []time.Duration // the same of other relays', where they share placements
	unreportedCloses         []time.Duration // the same of connections that are gone
	messagesLateUntil        time.Duration   // a message was late there: it counts as full until then
}

// invalidate drops the reading: the server is out of the probe pool until the next.
func (r *reading) invalidate() { r.at = -1 }

// usable tells whether there is a reading that has not been dropped.
func (r *reading) usable() bool { return r.at >= 0 }

func (r *reading) recordPlacement(at time.Duration) {
	r.unreportedPlacements = append(r.unreportedPlacements, at)
	r.boundUnreported()
}

func (r *reading) recordClose(at time.Duration) {
	r.unreportedCloses = append(r.unreportedCloses, at)
	r.boundUnreported()
}

// boundUnreported forgets old placements together with as many old closes, once either list is full: only how
// many more there are of the one counts where no reading comes. What is over then is forgotten, oldest first.
func (r *reading) boundUnreported() {
	placements, closes := len(r.unreportedPlacements), len(r.unreportedCloses)
	if max(placements, closes) <= maxUnreported {
		return
	}
	pairs := min(placements, closes)
	placementsKept, closesKept := min(placements-pairs, maxUnreported), min(closes-pairs, maxUnreported)
	r.unreportedPlacements = slices.Delete(r.unreportedPlacements, 0, placements-placementsKept)
	r.unreportedCloses = slices.Delete(r.unreportedCloses, 0, closes-closesKept)
}

// recordPeerPlacements counts what another relay placed there then, or, if negative, what ended.
func (r *reading) recordPeerPlacements(count int, at time.Duration) {
	list, n := &r.unreportedPeerPlacements, count
	if n < 0 {
		list, n = &r.unreportedCloses, -n
	}
	n = min(n, max(peerPlacementsKept-len(*list), 0))
	*list = append(*list, slices.Repeat([]time.Duration{at}, n)...)
}

// dropReported drops the placements and closes that a load report counts: those up to then.
func (r *reading) dropReported(until time.Duration) {
	for _, list := range []*[]time.Duration{
		&r.unreportedPlacements,
		&r.unreportedPeerPlacements,
		&r.unreportedCloses,
	} {
		*list = slices.DeleteFunc(*list, func(at time.Duration) bool { return at <= until })
	}
}

// loadModel estimates the load of servers between and without load reports.
type loadModel struct {
	*environment
	endpoints                *endpointSet
	requests                 *requestTable
	fleet                    *fleetView
	quota                    quota
	warmLoadMean             float64       // of warm servers' load reports, fading
	warmConnectionsMean      float64       // of the connections that these servers held, fading
	learnedLoadPerConnection float64       // a part of a server's capacity
	usualProbeLatency        time.Duration // of the probes that are answered in good time
}

// estimatedLoad is a server's load now: its reading, what has changed there since, less its part of what
// other relays migrate: those connections come here next, and would count twice.
func (m *loadModel) estimatedLoad(s *serverState) float64 {
	r := &s.reading
	since := float64(len(r.unreportedPlacements) + len(r.unreportedPeerPlacements) - len(r.unreportedCloses))
	if migrating := m.fleet.status.PeerMigrationRate; migrating > 0 {
		unreported := min(m.now-r.at, loadWatchInterval) + loadReportDelay
		since -= migrating * unreported.Seconds() / float64(max(m.endpoints.listedCount(), 1))
	}
	load := max(r.load+since*m.loadPerConnection(), 0)
	if m.now < r.messagesLateUntil { // work is piled up there, whatever load is asked of it now
		load = max(load, 1)
	}
	return load
}

// loadPerConnection is what one more connection is taken to add to a server's load, as a part of its
// capacity. A relay that holds few has seen few: what the quotas say is the least.
func (m *loadModel) loadPerConnection() float64 {
	return max(m.learnedLoadPerConnection, m.quotaLoadPerConnection())
}

func (m *loadModel) quotaLoadPerConnection() float64 {
	return m.quota.loadPerConnection(m.endpoints.listedCount())
}

// setReading takes in the load that a report tells, or guesses it where none does.
func (m *loadModel) setReading(s *serverState, report LoadReport, probeLatency time.Duration) {
	s.reading.load = max(report.Load, report.CPUUtilization)
	if s.reading.loadGuessed = s.reading.load < 0; s.reading.loadGuessed {
		s.reading.load = m.guessLoad(s, probeLatency)
	} else {
		m.learnLoadPerConnection(s, report)
	}
}

// guessLoad is the load of a server that reports none. One that answers probes late is overloaded; else
// what this relay holds there is all there is, as at a start, or, where no quota says what that adds, its
// part of it.
func (m *loadModel) guessLoad(s *serverState, probeLatency time.Duration) float64 {
	if m.recordProbeLatency(probeLatency) && m.warmLoadMean == 0 {
		return 1
	}
	if m.quota.totalConnections > 0 {
		connections := float64(len(s.connections) * m.fleet.status.Relays)
		return min(connections*m.quotaLoadPerConnection(), guessedLoadLimit)
	}
	here := float64(len(s.connections)) + uninformativeConnections
	mean := float64(m.requests.ownConnections/max(m.endpoints.listedCount(), 1)) + uninformativeConnections
	return min(watchedLoad*here/mean, guessedLoadLimit)
}

// learnLoadPerConnection follows what a connection adds to a warm server's load: mean load over mean
// connections held, or what all relays hold where no report counts them.
func (m *loadModel) learnLoadPerConnection(s *serverState, report LoadReport) {
	if m.capacityFraction(s) < 1 {
		return
	}
	connections := report.InFlight
	if connections < 0 {
		listed := float64(max(m.endpoints.listedCount(), 1))
		connections = m.fleet.fleetConnections(m.requests.ownConnections) / listed
	}
	m.warmLoadMean += (s.reading.load - m.warmLoadMean) * loadLearningWeight
	m.warmConnectionsMean += (connections - m.warmConnectionsMean) * loadLearningWeight
	if m.warmConnectionsMean >= 1 {
		m.learnedLoadPerConnection = m.warmLoadMean / m.warmConnectionsMean
	}
	if mean := m.quotaLoadPerConnection(); mean > 0 {
		m.learnedLoadPerConnection = min(m.learnedLoadPerConnection, maxLoadOverQuotaMean*mean)
	}
}

// recordProbeLatency notes how long a probe took and tells whether that is far longer than usual: work is
// piled up where it was. Of the usual it learns fast what is shorter and slowly what is longer, as many
// servers may be slow at once.
func (m *loadModel) recordProbeLatency(latency time.Duration) bool {
	switch before := m.usualProbeLatency; {
	case before == 0:
		m.usualProbeLatency = latency
	case latency < before:
		m.usualProbeLatency += (latency - before) / 4
	default:
		m.usualProbeLatency += (min(latency, 2*before) - before) / 32
	}
	return latency > slowProbeFactor*m.usualProbeLatency+m.settings.Tick
}
