package decide

import "time"

// admissionLoadLimit is the load, 0 to 1, beyond which no server is given more: near it most is served.
const admissionLoadLimit = 0.75

// admission decides whether a server has capacity for one more connection, so that load is shed before it is
// overloaded.
type admission struct {
	*environment
	endpoints *endpointSet
	pool      *probePool
	load      *loadModel
	arrivals  *arrivalRate
	fleet     *fleetView
}

// drawAdmission draws whether the best server found has capacity for one more. All relays find the few that
// have some left at the same time and none sees the others' placements until the next load report; so each
// takes no more of what comes to it than fills that capacity if the others do as it does.
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

// serversWithCapacity is how many of the listed servers are below admissionLoadLimit, by the part of the pool
// that is.
func (a *admission) serversWithCapacity() float64 {
	below, sampled := 0, min(len(a.pool.pool), maxCandidates)
	for _, id := range a.pool.pool[:sampled] {
		if a.load.estimatedLoad(&a.endpoints.servers[id]) < admissionLoadLimit {
			below++
		}
	}
	return float64(below) / float64(sampled) * float64(a.endpoints.listedCount())
}

// expectedArrivals is how many requests come to all relays while no reading tells of them.
func (a *admission) expectedArrivals() float64 {
	return a.fleet.fleetRequestRate(a.arrivals.requestRate()) * a.unreportedWindow().Seconds()
}

// unreportedWindow is how far back placements may be missing from what is known here: by load reports, or
// where relays share placements by gossip, which takes a round and its way through the fleet.
func (a *admission) unreportedWindow() time.Duration {
	if a.fleet.status.SharesPlacements {
		return loadReportDelay / 2
	}
	return loadReportDelay
}
