package decide

import (
	"slices"
	"time"
)

const (
	// loadReportDelay is the age up to which a connection may be missing from load reports, which servers
	// update about once per second.
	loadReportDelay = 700 * time.Millisecond
	// maxLoadOverQuotaMean bounds the learned load per connection, as a multiple of the estimate from the
	// quotas: a relay with few connections has too few samples to learn a larger value.
	maxLoadOverQuotaMean = 2.5
	// smoothingConnections is added to the own connections at a server and to their mean, so that small
	// differences between few connections do not change a guessed load much.
	smoothingConnections = 4
	// loadLearningWeight is the weight of a new load report in the moving averages of the load model.
	loadLearningWeight = 1.0 / 8
	// maxUnreportedPeerPlacements bounds the placements of other relays that are stored for a server.
	maxUnreportedPeerPlacements = 1024
	// maxUnreportedChanges bounds the own placements, and the closes, that are stored for a server without
	// new readings.
	maxUnreportedChanges = 1 << 14
	// slowProbeFactor is the multiple of the usual probe latency above which a server is taken to have a
	// backlog.
	slowProbeFactor = 4
	// maxGuessedLoad bounds the guessed load, 0 to 1, of a server without a load report: such a server has
	// capacity but is no better target for migrations.
	maxGuessedLoad = rebalanceTargetLoad
)

// reading is the latest known load of a server, and the changes since.
type reading struct {
	load                     float64         // load asked of the server over its capacity
	at                       time.Duration   // when the reading was taken, -1 if it must not be used
	loadGuessed              bool            // no load report told load; it was guessed
	unreportedPlacements     []time.Duration // times of own placements that load may not include yet
	unreportedPeerPlacements []time.Duration // the same for placements of other relays that share them
	unreportedCloses         []time.Duration // the same for closed connections
	messagesLateUntil        time.Duration   // a message was late: the server counts as full until then
}

// invalidate drops the reading, which keeps the server out of the probe pool until its next reading.
func (r *reading) invalidate() { r.at = -1 }

// usable reports whether there is a reading that has not been dropped.
func (r *reading) usable() bool { return r.at >= 0 }

func (r *reading) recordPlacement(at time.Duration) {
	r.unreportedPlacements = append(r.unreportedPlacements, at)
	r.trimUnreportedChanges()
}

func (r *reading) recordClose(at time.Duration) {
	r.unreportedCloses = append(r.unreportedCloses, at)
	r.trimUnreportedChanges()
}

// trimUnreportedChanges keeps the lists of own placements and closes within maxUnreportedChanges. Once either
// list is full, it drops the oldest placements together with as many of the oldest closes, which keeps their
// difference, the only value used while no reading comes. If a list is still too long, its oldest entries are
// dropped.
func (r *reading) trimUnreportedChanges() {
	placements, closes := len(r.unreportedPlacements), len(r.unreportedCloses)
	if max(placements, closes) <= maxUnreportedChanges {
		return
	}
	pairs := min(placements, closes)
	placementsKept, closesKept := min(placements-pairs, maxUnreportedChanges),
		min(closes-pairs, maxUnreportedChanges)
	r.unreportedPlacements = slices.Delete(r.unreportedPlacements, 0, placements-placementsKept)
	r.unreportedCloses = slices.Delete(r.unreportedCloses, 0, closes-closesKept)
}

// recordPeerPlacements records count connections that another relay placed on the server at a time, or, if
// count is negative, -count connections that ended.
func (r *reading) recordPeerPlacements(count int, at time.Duration) {
	list, n := &r.unreportedPeerPlacements, count
	if n < 0 {
		list, n = &r.unreportedCloses, -n
	}
	n = min(n, max(maxUnreportedPeerPlacements-len(*list), 0))
	*list = append(*list, slices.Repeat([]time.Duration{at}, n)...)
}

// dropReportedChanges drops the placements and closes up to the given time, which a load report includes.
func (r *reading) dropReportedChanges(until time.Duration) {
	for _, list := range []*[]time.Duration{
		&r.unreportedPlacements,
		&r.unreportedPeerPlacements,
		&r.unreportedCloses,
	} {
		*list = slices.DeleteFunc(*list, func(at time.Duration) bool { return at <= until })
	}
}

// loadModel estimates the load of servers between load reports and without them.
type loadModel struct {
	*environment
	endpoints                *endpointSet
	requests                 *requestTable
	fleet                    *fleetView
	quota                    quota
	warmLoadMean             float64       // moving average of the loads that warm servers report
	warmConnectionsMean      float64       // moving average of the connections that these servers held
	learnedLoadPerConnection float64       // as a fraction of a server's capacity
	usualProbeLatency        time.Duration // moving average that follows decreases faster than increases
}

// estimatedLoad is the present load of a server: its reading plus the changes since then, minus the server's
// part of the connections that other relays are migrating away. Those connections reach this relay next and
// would otherwise be counted twice.
func (m *loadModel) estimatedLoad(s *serverState) float64 {
	r := &s.reading
	since := float64(len(r.unreportedPlacements) + len(r.unreportedPeerPlacements) - len(r.unreportedCloses))
	if migrating := m.fleet.status.PeerMigrationRate; migrating > 0 {
		unreported := min(m.now-r.at, loadCheckInterval) + loadReportDelay
		since -= migrating * unreported.Seconds() / float64(max(m.endpoints.listedCount(), 1))
	}
	load := max(r.load+since*m.loadPerConnection(), 0)
	if m.now < r.messagesLateUntil { // the server has a backlog, whatever its present load is
		load = max(load, 1)
	}
	return load
}

// loadPerConnection is the load that one more connection is assumed to add to a server, as a fraction of its
// capacity. The estimate from the quotas is its lower bound, as a relay that holds few connections has few
// samples.
func (m *loadModel) loadPerConnection() float64 {
	return max(m.learnedLoadPerConnection, m.quotaLoadPerConnection())
}

func (m *loadModel) quotaLoadPerConnection() float64 {
	return m.quota.loadPerConnection(m.endpoints.listedCount())
}

// setReadingLoad sets the load of a server's reading from a load report, or guesses it if the report has
// none.
func (m *loadModel) setReadingLoad(s *serverState, report LoadReport, probeLatency time.Duration) {
	s.reading.load = max(report.Load, report.CPUUtilization)
	if s.reading.loadGuessed = s.reading.load < 0; s.reading.loadGuessed {
		s.reading.load = m.guessLoad(s, probeLatency)
	} else {
		m.learnLoadPerConnection(s, report)
	}
}

// guessLoad estimates the load of a server that reports none. A server that answers probes late is taken for
// overloaded, provided that no server reports a load. Otherwise, with quotas, every relay is assumed to hold
// as many connections there as this relay. Without quotas, the own connections there are compared with the
// mean over all servers.
func (m *loadModel) guessLoad(s *serverState, probeLatency time.Duration) float64 {
	if m.recordProbeLatency(probeLatency) && m.warmLoadMean == 0 {
		return 1
	}
	if m.quota.totalConnections > 0 {
		connections := float64(len(s.connections) * m.fleet.status.Relays)
		return min(connections*m.quotaLoadPerConnection(), maxGuessedLoad)
	}
	here := float64(len(s.connections)) + smoothingConnections
	mean := float64(m.requests.ownConnections/max(m.endpoints.listedCount(), 1)) + smoothingConnections
	return min(loadCheckThreshold*here/mean, maxGuessedLoad)
}

// learnLoadPerConnection updates the load that a connection adds to a warm server: mean load over mean
// connections. If no report counts a server's connections, the mean over all listed servers is used.
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

// recordProbeLatency records a probe's latency and reports whether it is far above the usual one, which means
// that the server has a backlog. The usual latency follows decreases fast and increases slowly, as many
// servers may be slow at once.
func (m *loadModel) recordProbeLatency(latency time.Duration) bool {
	switch usual := m.usualProbeLatency; {
	case usual == 0:
		m.usualProbeLatency = latency
	case latency < usual:
		m.usualProbeLatency += (latency - usual) / 4
	default:
		m.usualProbeLatency += (min(latency, 2*usual) - usual) / 32
	}
	return latency > slowProbeFactor*m.usualProbeLatency+m.settings.Tick
}
