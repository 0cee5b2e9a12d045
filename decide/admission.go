package decide

import "time"

// admissionLoadLimit is the load, 0 to 1, above which a server gets no more connections: near it, most
// requests are served.
const admissionLoadLimit = 0.75

// admission decides whether a server has capacity for one more connection, so that load is shed before the
// server is overloaded.
type admission struct {
	*environment
	endpoints *endpointSet
	pool      *probePool
	load      *loadModel
	arrivals  *arrivalRate
	fleet     *fleetView
}

// drawAdmission draws at random whether the best server found has capacity for one more connection. All
// relays find the few servers with capacity at the same time, and none sees the placements of the others
// until the next load report. So each admits only such a fraction of its requests that the capacity is just
// filled if all relays do the same.
func (a *admission) drawAdmission(s *serverState) bool {
	if !s.reading.usable() {
		return true
	}
	perConnection := a.load.loadPerConnection()
	if perConnection <= 0 {
		return s.reading.load < admissionLoadLimit
	}
	demand := a.rng.Float64() * a.expectedArrivals() * perConnection
	return demand < (admissionLoadLimit-a.load.estimatedLoad(s))*a.serversWithCapacity()
}

// serversWithCapacity estimates how many of the listed servers are below admissionLoadLimit, from the
// fraction of sampled servers of the pool that are.
func (a *admission) serversWithCapacity() float64 {
	below, sampled := 0, min(len(a.pool.pool), maxCandidates)
	for _, id := range a.pool.pool[:sampled] {
		if a.load.estimatedLoad(&a.endpoints.servers[id]) < admissionLoadLimit {
			below++
		}
	}
	return float64(below) / float64(sampled) * float64(a.endpoints.listedCount())
}

// expectedArrivals is how many requests reach all relays within the time that readings do not include yet.
func (a *admission) expectedArrivals() float64 {
	return a.fleet.fleetRequestRate(a.arrivals.requestRate()) * a.unreportedWindow().Seconds()
}

// unreportedWindow is the age up to which placements may be missing from this relay's readings: the delay of
// load reports, or where relays share placements, the time of a gossip round and its propagation through the
// fleet.
func (a *admission) unreportedWindow() time.Duration {
	if a.fleet.status.SharesPlacements {
		return loadReportDelay / 2
	}
	return loadReportDelay
}
