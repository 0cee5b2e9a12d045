package decide

import "math"

// This file decides which backend a connection goes to, and when there is room for it.

// latenessCost is the part of messages that come late at a load, by its fourth power: so steeply it grows as load
// nears capacity. What crossing zones costs is weighed against it.
func latenessCost(load float64) float64 { return load * load * load * load }

// estimatedLoad is a backend's load now: its reading, what this relay has added since, and its part of what others
// have sent away: those come here next, and would count twice.
func (b *Balancer) estimatedLoad(s *serverState) float64 {
	since := float64(len(s.unreportedPlacements) + len(s.unreportedPeerPlacements) - len(s.unreportedCloses))
	if b.fleetStatus.PeerMigrationRate > 0 {
		since -= b.fleetStatus.PeerMigrationRate * (min(b.now-s.readAt, loadWatchInterval) + loadReportDelay).Seconds() / float64(max(b.listedCount(), 1))
	}
	load := max(s.readLoad+since*b.loadPerConnection(), 0)
	if b.now < s.messagesLateUntil { // work is piled up there, whatever load is asked of it now
		load = max(load, 1)
	}
	return load
}

// pickCheapest picks from the pool: least lateness, a crossing's price included, ties at random. A backend that
// warms up counts at least the pool's mean, or half of fullLoad, as it looks idle to all relays at once.
func (b *Balancer) pickCheapest(r *request) (ServerID, float64) {
	b.pruneStaleReadings()
	from, start, most, grouped := b.pool, b.rng.IntN(len(b.pool)+1), b.candidateLimit(), r.Group != 0
	if grouped { // never to another in the pool: a group that spreads in an overload makes it worse
		from, start, most = b.groupSubset(r.Group, 1+r.subsetWidened), 0, maxCandidates
	}
	others := b.expectedArrivals() * b.loadPerConnection() / float64(max(b.listedCount(), 1))
	pick, least := ServerID(-1), math.Inf(1)
	for i := range min(len(from), most) { // from a random place on, so that ties break at random
		id := from[(start+i)%len(from)]
		s := &b.servers[id]
		if s.readAt < 0 || !b.mayPlaceOn(r, id, s) {
			continue
		}
		load := b.estimatedLoad(s) + others*b.rng.ExpFloat64()
		if grouped && load < groupSpillLoad {
			return id, 0
		}
		if b.capacityFraction(s) < 1 {
			load = max(load, min(b.poolLoadMean, admissionLoadLimit/2))
		}
		cost := latenessCost(load)
		if s.Zone != b.settings.Zone {
			cost += b.settings.Prices.CrossZone
		}
		if cost < least {
			pick, least = id, cost
		}
	}
	return pick, least
}

// mayPlaceOn tells whether the request may go to a backend: rule 2 and 3, rule 4's budget, and never to one
// that just failed it.
func (b *Balancer) mayPlaceOn(r *request, id ServerID, s *serverState) bool {
	if s.zoneIndex < 0 || r.attempts > 0 && id == r.server {
		return false
	}
	if r.mayHaveRunOn >= 0 {
		first, class := &b.servers[r.mayHaveRunOn], &b.settings.Classes[r.Class]
		if b.now-r.mayHaveRunAt >= class.DedupWindow || class.DedupScope == ScopeZone && s.Zone != first.Zone ||
			class.DedupScope == ScopeCell && s.Cell != first.Cell {
			return false
		}
	}
	return b.capacityFraction(s) == 1 || b.drawSlowStartBudget(s)
}

// drawSlowStartBudget draws whether this relay may send a cold backend one more: its part of what all relays may
// send together (rule 4), spread over how often it comes upon that backend now. Chances do not add up, so
// a surge keeps within it. A warm backend holds 1/perConn connections and turns them over in a mean life.
func (b *Balancer) drawSlowStartBudget(s *serverState) bool {
	adds := b.loadPerConnection()
	if adds == 0 { // nobody tells: who holds the mean is taken for full
		adds = admissionLoadLimit * float64(b.listedCount()) / max(b.fleetConnections(), float64(b.listedCount()))
	}
	life := max(b.settings.Rules.SlowStartWindow.Seconds(), float64(b.ownConnections)*(b.now-b.startedAt).Seconds()/(b.requestsTotal+1))
	budget := slowStartBudgetUse * b.settings.Rules.OverloadFactor * b.capacityFraction(s) / adds / life
	among := len(b.serversByZone[s.Zone])
	if b.settings.GroupAffinity || b.fleetStatus.SharesReadings { // a circle is drawn from all zones, as is what others tell
		among = b.listedCount()
	}
	met := max(b.requestRate()*min(1, probesPerPlacement/float64(among)), b.recordDemand(s)/b.settings.Rules.OverloadWindow.Seconds())
	own, since := budget*b.budgetShare(s), min(b.settings.Rules.OverloadWindow, b.now-b.startedAt) // an earlier life may have sent too
	return b.rng.Float64()*met < own && b.recentAttemptCount(s) < 1+own*since.Seconds()            // a surge is known too late by rate
}

// capacityFraction is the part of its capacity that a backend has at least.
func (b *Balancer) capacityFraction(s *serverState) float64 {
	if s.slowStartAt < 0 || b.now-s.slowStartAt >= b.settings.Rules.SlowStartWindow {
		return 1
	}
	start := b.settings.Rules.SlowStartCapacity
	return start + (1-start)*float64(b.now-s.slowStartAt)/float64(b.settings.Rules.SlowStartWindow)
}

// placeRequest decides a request that has waited long enough.
func (b *Balancer) placeRequest(r *request) {
	pick, cost := b.pickCheapest(r)
	if home := b.settings.Zone; !r.triedOtherZone && b.settings.Probes && b.settings.Zones > 1 && cost > b.settings.Prices.CrossZone {
		r.triedOtherZone = true // home is loaded beyond what crossing costs, or lost: look elsewhere once
		other := (home + 1 + Zone(b.rng.IntN(b.settings.Zones-1))) % Zone(b.settings.Zones)
		if r.probesAwaited = min(1, b.topUpReadings(b.serversByZone[other], probesPerPlacement/2, true)); r.probesAwaited > 0 { // the first will do
			b.queueOrPlace(r)
			return
		}
	}
	if pick < 0 {
		pick = b.pickFallback(r)
	}
	switch {
	case pick < 0 && b.awaitFirstList(r):
		return
	case pick < 0:
		b.rejectRequest(r, NoServer)
		return
	case !b.drawAdmission(&b.servers[pick]):
		if r.Group != 0 && r.subsetWidened == 0 { // its circle is full: on to the next in its order, once
			r.subsetWidened = 1
			r.probesAwaited = b.topUpReadings(b.groupSubset(r.Group, 2), probesPerPlacement, false)
			b.queueOrPlace(r)
			return
		}
		b.rejectRequest(r, NoCapacity)
		return
	}
	s := &b.servers[pick]
	r.server, r.phase, r.lastSentAt = pick, phaseInFlight, b.now
	r.attempts++
	s.unreportedPlacements = append(s.unreportedPlacements, b.now)
	b.addConnection(r)
	b.emit(Forward{ID: r.ID, Server: pick, Timeout: b.setupTimeout(r)})
}

// drawAdmission draws whether the best backend found has room for one more. All relays find the few that have
// room at the same time and none sees the others' sends until the next report; so each takes no more of
// what comes to it than fills that room if the others do as it does.
func (b *Balancer) drawAdmission(s *serverState) bool {
	if s.readAt < 0 || b.loadPerConnection() <= 0 {
		return s.readAt < 0 || s.readLoad < admissionLoadLimit
	}
	roomy, seen := 0, min(len(b.pool), maxCandidates)
	for _, id := range b.pool[:seen] {
		if b.estimatedLoad(&b.servers[id]) < admissionLoadLimit {
			roomy++
		}
	}
	share := float64(roomy) / float64(seen) * float64(b.listedCount()) // backends that have room
	return b.rng.Float64()*b.expectedArrivals()*b.loadPerConnection() < (admissionLoadLimit-b.estimatedLoad(s))*share
}

// expectedArrivals is how many requests come to all relays while a reading cannot tell of them. Where the others do not
// say what comes to them, each is taken to see what this one sees.
func (b *Balancer) expectedArrivals() float64 {
	all := b.requestRate() * float64(b.settings.Relays)
	if b.fleetStatus.PeerRequestRate >= 0 {
		all = b.requestRate() + b.fleetStatus.PeerRequestRate
	}
	return all * b.unreportedWindow().Seconds()
}

// pickFallback is the gentle fallback when no reading is left: a backend at random, first at home and well,
// then anywhere and well, then any warm one that says not no; so many draws would overspend a cold one.
func (b *Balancer) pickFallback(r *request) ServerID {
	for round := range 3 {
		for range 2 * probesPerPlacement {
			zone := b.settings.Zone
			if round > 0 {
				zone = Zone(b.rng.IntN(b.settings.Zones))
			}
			if len(b.serversByZone[zone]) == 0 {
				continue
			}
			id := b.serversByZone[zone][b.rng.IntN(len(b.serversByZone[zone]))]
			if s := &b.servers[id]; (!s.ejected || round == 2 && !s.answersWithErrors()) && b.capacityFraction(s) == 1 && b.mayPlaceOn(r, id, s) {
				return id
			}
		}
	}
	return -1
}
