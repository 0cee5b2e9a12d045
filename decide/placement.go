package decide

import "math"

const (
	// maxCandidates is how many readings a placement compares: among so many drawn at random is one of the
	// best 3%.
	maxCandidates = 128
	// sharedCandidates is the same where all relays have the same readings: the server that reads least would
	// get all that comes until the next reading.
	sharedCandidates = probesPerPlacement / 2
	// groupSpillLoad is the load, 0 to 1, beyond which a group goes to the next server of its order.
	groupSpillLoad = 0.6
	// fallbackDraws is how many servers a round of the fallback draws.
	fallbackDraws = 2 * probesPerPlacement
)

// placement decides which server an attempt goes to.
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

// latenessCost is the part of messages that come late at a load, 0 to 1 and more: it grows so steeply as load
// nears capacity. What crossing zones costs (Prices.CrossZone) is weighed against it.
func latenessCost(load float64) float64 { return load * load * load * load }

// pickCheapest picks from the pool the server of the least cost, a crossing's price included, or for a
// group the first of its order below groupSpillLoad; -1 if none may be used. Ties break at random.
func (p *placement) pickCheapest(r *request) (pick ServerID, cost float64) {
	p.pool.pruneStaleReadings()
	candidates, most := p.pool.pool, p.candidateLimit()
	start := p.rng.IntN(len(p.pool.pool) + 1)
	grouped := r.Group != 0
	if grouped { // never to another in the pool: a group that spreads in an overload makes it worse
		candidates, most = p.affinity.groupSubset(r.Group, 1+r.subsetWidened), maxCandidates
		start = 0
	}
	othersLoad := p.othersLoad()
	pick, cost = -1, math.Inf(1)
	for i := range min(len(candidates), most) {
		id := candidates[(start+i)%len(candidates)]
		s := &p.endpoints.servers[id]
		if !s.reading.usable() || !p.mayPlaceOn(r, id, s) {
			continue
		}
		load := p.load.estimatedLoad(s) + othersLoad*p.rng.ExpFloat64()
		if grouped && load < groupSpillLoad {
			return id, 0
		}
		if c := p.placementCost(s, load); c < cost {
			pick, cost = id, c
		}
	}
	return pick, cost
}

// placementCost is what one more connection costs at a server of a load. A server in slow start counts at
// least the pool's mean, or half of what is admitted, as it looks idle to all relays at once.
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

// othersLoad is the mean load that a server gets from what comes to all relays while no reading tells of it.
func (p *placement) othersLoad() float64 {
	listed := float64(max(p.endpoints.listedCount(), 1))
	return p.admission.expectedArrivals() * p.load.loadPerConnection() / listed
}

// candidateLimit is how many readings a placement compares.
func (p *placement) candidateLimit() int {
	if p.fleet.status.SharesReadings {
		return sharedCandidates
	}
	return maxCandidates
}

// mayPlaceOn plans by the rules whether a request may go to a server: never to one that takes nothing new
// (rule 3), never to the one that just failed it, after an attempt that may have run only to a server that
// drops the repeat (rule 2), and to one in slow start within its budget (rule 4). internal/guard enforces
// rules 2 and 3 again right before the act, by what is known then.
func (p *placement) mayPlaceOn(r *request, id ServerID, s *serverState) bool {
	if s.zoneIndex < 0 || r.attempts > 0 && id == r.server {
		return false
	}
	if r.mayHaveRunOn >= 0 && !p.dropsRepeat(r, s) {
		return false
	}
	return p.capacityFraction(s) == 1 || p.budget.drawSlowStartBudget(s)
}

// dropsRepeat tells whether a server knows the idempotency keys of the one where the request may have run,
// and still remembers its key. Of a class that may not run twice no repeat comes this far.
func (p *placement) dropsRepeat(r *request, s *serverState) bool {
	first, class := &p.endpoints.servers[r.mayHaveRunOn], p.class(r)
	remembered := p.now-r.mayHaveRunAt < class.DedupWindow
	return remembered && class.DedupScope.Covers(s.Zone == first.Zone, s.Cell == first.Cell)
}

// pickFallback is the choice when no reading is left: a warm server at random, first at home and not ejected,
// then anywhere and not ejected, then any that does not answer with errors; -1 if none is met. So many draws
// would overspend the budget of one in slow start.
func (p *placement) pickFallback(r *request) ServerID {
	for round := range 3 {
		for range fallbackDraws {
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
