package decide

import "math"

// This file decides which backend a connection goes to, and when there is room for it.

// lateness is the part of messages that come late at a load, by its fourth power: so steeply it grows as load
// nears capacity. What crossing zones costs is weighed against it.
func lateness(load float64) float64 { return load * load * load * load }

// estimate is a backend's load now: its reading, what this relay has added since, and its part of what others
// have sent away: those come here next, and would count twice.
func (b *Balancer) estimate(s *server) float64 {
	since := float64(len(s.placed) + len(s.others) - len(s.left))
	if b.talk.Sent > 0 {
		since -= b.talk.Sent * (min(b.now-s.readAt, watchEvery) + reportLag).Seconds() / float64(max(b.listed(), 1))
	}
	load := max(s.load+since*b.adds(), 0)
	if b.now < s.lagTill { // work is piled up there, whatever load is asked of it now
		load = max(load, 1)
	}
	return load
}

// best picks from the pool: least lateness, a crossing's price included, ties at random. A backend that
// warms up counts at least the pool's mean, or half of fullLoad, as it looks idle to all relays at once.
func (b *Balancer) best(r *request) (Backend, float64) {
	b.fresh()
	from, start, most, grouped := b.pool, b.rng.IntN(len(b.pool)+1), b.priced(), r.Group != 0
	if grouped { // never to another in the pool: a group that spreads in an overload makes it worse
		from, start, most = b.circle(r.Group, 1+r.widened), 0, mostPriced
	}
	others := b.coming() * b.adds() / float64(max(b.listed(), 1))
	pick, least := Backend(-1), math.Inf(1)
	for i := range min(len(from), most) { // from a random place on, so that ties break at random
		id := from[(start+i)%len(from)]
		s := &b.fleet[id]
		if s.readAt < 0 || !b.allowed(r, id, s) {
			continue
		}
		load := b.estimate(s) + others*b.rng.ExpFloat64()
		if grouped && load < groupLoad {
			return id, 0
		}
		if b.warmth(s) < 1 {
			load = max(load, min(b.mean, fullLoad/2))
		}
		cost := lateness(load)
		if s.Zone != b.set.Zone {
			cost += b.set.Prices.CrossZone
		}
		if cost < least {
			pick, least = id, cost
		}
	}
	return pick, least
}

// allowed tells whether the request may go to a backend: rule 2 and 3, rule 4's budget, and never to one
// that just failed it.
func (b *Balancer) allowed(r *request, id Backend, s *server) bool {
	if s.pos < 0 || r.attempts > 0 && id == r.backend {
		return false
	}
	if r.ranOn >= 0 {
		first, class := &b.fleet[r.ranOn], &b.set.Classes[r.Class]
		if b.now-r.ranAt >= class.Window || class.Scope == ScopeZone && s.Zone != first.Zone ||
			class.Scope == ScopeCell && s.Cell != first.Cell {
			return false
		}
	}
	return b.warmth(s) == 1 || b.coldBudget(s)
}

// coldBudget draws whether this relay may send a cold backend one more: its part of what all relays may
// send together (rule 4), spread over how often it comes upon that backend now. Chances do not add up, so
// a surge keeps within it. A warm backend holds 1/perConn connections and turns them over in a mean life.
func (b *Balancer) coldBudget(s *server) bool {
	adds := b.adds()
	if adds == 0 { // nobody tells: who holds the mean is taken for full
		adds = fullLoad * float64(b.listed()) / max(b.all(), float64(b.listed()))
	}
	life := max(b.set.Rules.Cold.Seconds(), float64(b.held)*(b.now-b.began).Seconds()/(b.arrived+1))
	budget := coldShare * b.set.Rules.FallMultiple * b.warmth(s) / adds / life
	among := len(b.zones[s.Zone])
	if b.set.Groups || b.talk.Shared { // a circle is drawn from all zones, as is what others tell
		among = b.listed()
	}
	met := max(b.rate()*min(1, probesPerPick/float64(among)), b.others(s)/b.set.Rules.FallFor.Seconds())
	own, since := budget*b.share(s), min(b.set.Rules.FallFor, b.now-b.began) // an earlier life may have sent too
	return b.rng.Float64()*met < own && b.lately(s) < 1+own*since.Seconds()  // a surge is known too late by rate
}

// warmth is the part of its capacity that a backend has at least.
func (b *Balancer) warmth(s *server) float64 {
	if s.coldAt < 0 || b.now-s.coldAt >= b.set.Rules.Cold {
		return 1
	}
	start := b.set.Rules.StartCapacity
	return start + (1-start)*float64(b.now-s.coldAt)/float64(b.set.Rules.Cold)
}

// place decides a request that has waited long enough.
func (b *Balancer) place(r *request) {
	pick, cost := b.best(r)
	if home := b.set.Zone; !r.spilled && b.set.Probes && b.set.Zones > 1 && cost > b.set.Prices.CrossZone {
		r.spilled = true // home is loaded beyond what crossing costs, or lost: look elsewhere once
		other := (home + 1 + Zone(b.rng.IntN(b.set.Zones-1))) % Zone(b.set.Zones)
		if r.need = min(1, b.topUp(b.zones[other], probesPerPick/2, true)); r.need > 0 { // the first will do
			b.holdOrPlace(r)
			return
		}
	}
	if pick < 0 {
		pick = b.anyone(r)
	}
	switch {
	case pick < 0 && b.awaitList(r):
		return
	case pick < 0:
		b.turnAway(r, NoServer)
		return
	case !b.admit(&b.fleet[pick]):
		if r.Group != 0 && r.widened == 0 { // its circle is full: on to the next in its order, once
			r.widened = 1
			r.need = b.topUp(b.circle(r.Group, 2), probesPerPick, false)
			b.holdOrPlace(r)
			return
		}
		b.turnAway(r, NoRoom)
		return
	}
	s := &b.fleet[pick]
	r.backend, r.phase, r.sentAt = pick, sent, b.now
	r.attempts++
	s.placed = append(s.placed, b.now)
	b.hold(r)
	b.do(Send{ID: r.ID, Backend: pick, Timeout: b.timeout(r)})
}

// admit draws whether the best backend found has room for one more. All relays find the few that have
// room at the same time and none sees the others' sends until the next report; so each takes no more of
// what comes to it than fills that room if the others do as it does.
func (b *Balancer) admit(s *server) bool {
	if s.readAt < 0 || b.adds() <= 0 {
		return s.readAt < 0 || s.load < fullLoad
	}
	roomy, seen := 0, min(len(b.pool), mostPriced)
	for _, id := range b.pool[:seen] {
		if b.estimate(&b.fleet[id]) < fullLoad {
			roomy++
		}
	}
	share := float64(roomy) / float64(seen) * float64(b.listed()) // backends that have room
	return b.rng.Float64()*b.coming()*b.adds() < (fullLoad-b.estimate(s))*share
}

// coming is how many requests come to all relays while a reading cannot tell of them. Where the others do not
// say what comes to them, each is taken to see what this one sees.
func (b *Balancer) coming() float64 {
	all := b.rate() * float64(b.set.Relays)
	if b.talk.Others >= 0 {
		all = b.rate() + b.talk.Others
	}
	return all * b.unseen().Seconds()
}

// anyone is the gentle fallback when no reading is left: a backend at random, first at home and well,
// then anywhere and well, then any warm one that says not no; so many draws would overspend a cold one.
func (b *Balancer) anyone(r *request) Backend {
	for round := range 3 {
		for range 2 * probesPerPick {
			zone := b.set.Zone
			if round > 0 {
				zone = Zone(b.rng.IntN(b.set.Zones))
			}
			if len(b.zones[zone]) == 0 {
				continue
			}
			id := b.zones[zone][b.rng.IntN(len(b.zones[zone]))]
			if s := &b.fleet[id]; (!s.bad || round == 2 && !s.erring()) && b.warmth(s) == 1 && b.allowed(r, id, s) {
				return id
			}
		}
	}
	return -1
}
