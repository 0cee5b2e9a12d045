package decide

import "math"

const (
	// maxCandidates is how many readings a placement compares: of this many drawn at random, the best is very
	// likely among the best 3% of all.
	maxCandidates = 128
	// maxSharedCandidates is the same where relays share readings. With more candidates, all relays would
	// choose the server with the lowest reading until the next one.
	maxSharedCandidates = probesPerPlacement / 2
	// groupSpillLoad is the load, 0 to 1, above which a group's connections go to the next server of its
	// rendezvous order.
	groupSpillLoad = 0.6
	// fallbackDrawsPerRound is how many servers each round of the fallback draws.
	fallbackDrawsPerRound = 2 * probesPerPlacement
)

// placement chooses the server of an attempt.
type placement struct {
	*environment
	endpoints *endpointSet
	fleet     *fleetView
	pool      *probePool
	affinity  *groupAffinity
	load      *loadModel
	admission *admission
	budget    *slowStartBudget
}

// latenessCost is the approximate fraction of messages that are late at a load: load to the fourth power, as
// lateness rises steeply near capacity. It is compared with the price of crossing zones (Prices.CrossZone).
func latenessCost(load float64) float64 { return load * load * load * load }

// pickCheapest picks the server with the lowest cost from the pool, including the price of crossing zones;
// for a group, the first server of its order with a load below groupSpillLoad, or else the one with the
// lowest cost. It returns -1 if no server is eligible. Ties are broken at random.
func (p *placement) pickCheapest(r *request) (pick ServerID, cost float64) {
	p.pool.pruneStaleReadings()
	candidates, most := p.pool.pool, p.candidateLimit()
	start := p.rng.IntN(len(p.pool.pool) + 1)
	grouped := r.Group != 0
	if grouped { // no other servers: spreading a group adds load in an overload
		candidates, most = p.affinity.groupSubset(r.Group, 1+r.subsetWidened), maxCandidates
		start = 0
	}
	unreportedArrivalLoad := p.unreportedArrivalLoad()
	pick, cost = -1, math.Inf(1)
	for i := range min(len(candidates), most) {
		id := candidates[(start+i)%len(candidates)]
		s := &p.endpoints.servers[id]
		if !s.reading.usable() || !p.mayPlaceOn(r, id, s) {
			continue
		}
		load := p.load.estimatedLoad(s) + unreportedArrivalLoad*p.rng.ExpFloat64()
		if grouped && load < groupSpillLoad {
			return id, 0
		}
		if c := p.placementCost(s, load); c < cost {
			pick, cost = id, c
		}
	}
	return pick, cost
}

// placementCost is the cost of one more connection at a server with the given load. A server in slow start
// counts with at least the mean load of the pool, or half of the admission limit if that is lower, as it
// looks idle to all relays at once.
func (p *placement) placementCost(s *serverState, load float64) float64 {
	if p.capacityFraction(s) < 1 {
		load = max(load, min(p.pool.poolLoadMean, admissionLoadLimit/2))
	}
	cost := latenessCost(load)
	if s.Zone != p.settings.Zone {
		cost += p.settings.Prices.CrossZone
	}
	return cost
}

// unreportedArrivalLoad is the mean load that a server gets from the requests to all relays that no reading
// includes yet.
func (p *placement) unreportedArrivalLoad() float64 {
	listed := float64(max(p.endpoints.listedCount(), 1))
	return p.admission.expectedArrivals() * p.load.loadPerConnection() / listed
}

// candidateLimit is how many readings a placement compares.
func (p *placement) candidateLimit() int {
	if p.fleet.status.SharesReadings {
		return maxSharedCandidates
	}
	return maxCandidates
}

// mayPlaceOn reports whether the rules allow a request on a server: not on a server that gets no new attempts
// (rule 3), not on the server of the request's latest attempt, after an attempt that may have run only on a
// server that drops the repeat (rule 2), and on a server in slow start only within its budget (rule 4).
// internal/guard enforces rules 2 and 3 again immediately before the attempt is sent, by what is known then.
func (p *placement) mayPlaceOn(r *request, id ServerID, s *serverState) bool {
	if s.zoneIndex < 0 || r.attempts > 0 && id == r.server {
		return false
	}
	if r.mayHaveRunOn >= 0 && !p.dropsRepeat(r, s) {
		return false
	}
	return p.capacityFraction(s) == 1 || p.budget.drawSlowStartBudget(s)
}

// dropsRepeat reports whether a server shares the idempotency keys of the server where the request may have
// run, and still remembers the request's key. Requests of a non-idempotent class that may have run are not
// retried, so they do not get here.
func (p *placement) dropsRepeat(r *request, s *serverState) bool {
	first, class := &p.endpoints.servers[r.mayHaveRunOn], p.class(r)
	remembered := p.now-r.mayHaveRunAt < class.DedupWindow
	return remembered && class.DedupScope.Covers(s.Zone == first.Zone, s.Cell == first.Cell)
}

// pickFallback chooses a server without using readings: a warm server at random, first among servers of the
// home zone that are not ejected, then among those of any zone, then also among ejected servers that do not
// answer with errors. It returns -1 if no draw finds one. Servers in slow start are excluded, as this many
// draws would exceed their budget.
func (p *placement) pickFallback(r *request) ServerID {
	for round := range 3 {
		for range fallbackDrawsPerRound {
			zone := p.settings.Zone
			if round > 0 {
				zone = Zone(p.rng.IntN(p.settings.Zones))
			}
			list := p.endpoints.serversByZone[zone]
			if len(list) == 0 {
				continue
			}
			id := list[p.rng.IntN(len(list))]
			s := &p.endpoints.servers[id]
			healthy := !s.health.ejected || round == 2 && !s.health.answersWithErrors()
			if healthy && p.capacityFraction(s) == 1 && p.mayPlaceOn(r, id, s) {
				return id
			}
		}
	}
	return -1
}
