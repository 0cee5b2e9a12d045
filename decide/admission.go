package decide

import "time"

// admissionLoadLimit is the load, 0 to 1, beyond which no server is given more: near it most is served.
const admissionLoadLimit = 0.75

// admission decides whether there is room for one more, so that load is shed before a server is overloaded.
type admission struct {
	*environment
	endpoints *endpointSet
	pool      *probePool
	load      *loadModel
	arrivals  *arrivalRate
	fleet     *fleetView
}

// drawAdmission draws whether the best server found has room for one more. All relays find the few that
// have room at the same time and none sees the others' placements until the next load report; so each takes
// no more of what comes to it than fills that room if the others do as it does.
func (a *admission) drawAdmission(s *serverState) bool {
	if !s.reading.usable() {
		return true
	}
	perConnection := a.load.loadPerConnection()
	if perConnection <= 0 {
		return s.reading.load < admissionLoadLimit
	}
	demand := a.rng.Float64() * a.expectedArrivals() * perConnection
	return demand < (admissionLoadLimit-a.load.estimatedLoad(s))*a.serversWithRoom()
}

// serversWithRoom is how many of the listed servers have room, by the part of the pool that has.
func (a *admission) serversWithRoom() float64 {
	withRoom, looked := 0, min(len(a.pool.pool), maxCandidates)
	for _, id := range a.pool.pool[:looked] {
		if a.load.estimatedLoad(&a.endpoints.servers[id]) < admissionLoadLimit {
			withRoom++
		}
	}
	return float64(withRoom) / float64(looked) * float64(a.endpoints.listedCount())
}

// expectedArrivals is how many requests come to all relays while no reading tells of them.
func (a *admission) expectedArrivals() float64 {
	return a.fleet.fleetRequestRate(a.arrivals.requestRate()) * a.unreportedWindow().Seconds()
}

// unreportedWindow is the time of which neither readings nor, where other relays tell what they place, their
// gossip speaks yet: for gossip a round, and its way through the fleet.
func (a *admission) unreportedWindow() time.Duration {
	if a.fleet.status.SharesPlacements {
		return loadReportDelay / 2
	}
	return loadReportDelay
}
