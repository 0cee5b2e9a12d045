// Package decide makes a relay's decisions: where each long-lived connection goes, when to try again,
// when to refuse, when to move a connection. Its types, events and actions are in decide/types.go.
package decide

import (
	"math"
	"slices"
	"time"
)

const (
	falseTimeouts = 0.001                   // tolerable part of set-ups timed out that would have come
	setupsKept    = 128                     // set-up times that the percentile is taken over
	padOverMedian = 3                       // least multiple of the median that the percentile is padded to
	probesPerPick = 4                       // fresh readings that a placement wants to choose from
	freshFor      = time.Second             // a reading this young counts as fresh
	retryEarned   = 0.2                     // retry tokens that an arrival earns its tenant
	retryBurst    = 2.0                     // most tokens a tenant can save up
	fullLoad      = 0.75                    // no backend is given more beyond this load; most is served near it
	coldShare     = 0.8                     // part of a cold backend's budget that all relays together use
	watchEvery    = 2 * time.Second         // held backends are looked at this often
	busyLoad      = 0.5                     // held backends are watched while the pool's mean is over this
	easeLoad      = 0.65                    // an overdriven backend is brought down to this, onto ones under it
	hotLoad       = 0.85                    // a backend over this is overdriven
	reportLag     = 700 * time.Millisecond  // a reading counts nothing that is younger than this
	noteEvery     = 1100 * time.Millisecond // a note of delay comes again within this
	quotaOfAll    = 0.8                     // part of all backends' capacity that tenants' quotas add up to
	overQuota     = 2.5                     // most that a connection adds, by what groups pay, over its mean
	fewHeld       = 4                       // own connections at a backend that tell little of it
	groupLoad     = 0.6                     // a group goes to its next backend beyond this
	stillFor      = 2                       // probes in a row that a silent backend leaves unanswered
	errorHold     = 4 * time.Second         // an erring backend is left out for up to this, doubling
	askAgain      = 3 * time.Second         // discovery is called again within this: news may take 6 s
	callsAWhile   = 140                     // calls that discovery surely works through in AskWithin
	mostPriced    = 128                     // readings that a placement looks at: among them one of the best 3%
)

const ( // kinds of timer, in the low bits of a token
	wakeRequest = iota // a held request: its probes or its back-off are due
	wakeWatch          // look at the backends that hold our connections
	wakeDiscovery
	wakeShift // a backend's connections are to go, and a better place has been asked for
	wakeKinds
)

// Handle takes one event and appends what is to be done about it to out. Time never goes back.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = now, out
	if b.began < 0 {
		b.began = now
	}
	switch e := ev.(type) {
	case Members:
		b.members(e)
	case Request:
		r := b.track(e)
		b.arrived++
		b.rate()
		b.recent++
		b.tokens[r.Tenant] = min(retryBurst, b.tokens[r.Tenant]+retryEarned)
		b.ready(r)
	case Inherited:
		r := b.track(e.Request)
		r.attempts, r.phase, r.backend = 1, open, e.Backend
		b.hold(r)
		b.watch()
	case Opened:
		b.sampleSetup(e.Took)
		b.late, b.server(e.Backend).errs = 0, 0
		if r := b.reqs[e.ID]; r != nil && r.phase != done {
			r.phase = open
			b.keys.forgive(r.Key)
			b.watch()
		}
	case Outcome:
		b.outcome(e)
	case Gone:
		if r := b.reqs[e.ID]; r != nil {
			b.forget(r)
		}
	case Alarm:
		b.alarm(e.Token)
	case Probed:
		b.probed(e)
	case Told:
		b.told(e)
	case Fleet:
		b.gather(e)
	case DelayNote:
		if r := b.reqs[e.ID]; r != nil {
			if aim := b.set.Classes[r.Class].Message; aim > 0 && e.Delay > aim { // with no aim told none is late
				b.server(e.Backend).lagTill = b.now + noteEvery
				b.probe(e.Backend)
			}
		}
	}
	return b.out
}

// members follows discovery's list. From the moment a backend is told to drain or to be gone nothing
// new goes to it (rule 3), long before the grace is over.
func (b *Balancer) members(e Members) {
	if e.Kind == Failed {
		b.asked++
		least := max(b.set.Tick*100, min(b.turns(), askAgain*3/2)) // beyond 63 relays news goes before turns
		b.wake(wakeDiscovery, 0, b.jittered(least, b.asked, max(askAgain, least)))
		return
	}
	if e.Kind != Cached { // any list is an answer
		b.asked = 0
	} else if b.set.Ask { // a fixed spread, so that all relays starting at once do not ask at once
		b.askInTurn()
	}
	if e.Kind != Delta { // who is not in a whole list is gone
		for i := range b.fleet {
			b.enter(Entry{Backend: Backend(i), Zone: b.fleet[i].Zone, Since: b.fleet[i].Since})
		}
	}
	for _, entry := range e.Entries {
		if s := b.server(entry.Backend); entry.Since != s.Since && b.now-entry.Since < b.set.Rules.Cold {
			s.chill(entry.Since)
		}
		b.enter(entry)
	}
	b.listHeard()
}

// ready places a request at once if the pool is fresh; else the pool is topped up first.
func (b *Balancer) ready(r *request) {
	r.need = b.ask(r.Group)
	b.holdOrPlace(r)
}

// ask tops up the pool for a connection of a group, or of none, and returns how many answers will come.
func (b *Balancer) ask(group uint64) int {
	switch {
	case !b.set.Probes:
		return 0
	case group != 0:
		return b.topUp(b.circle(group, 1), probesPerPick, false)
	}
	return b.topUp(b.zones[b.set.Zone], probesPerPick-b.fresh(), true)
}

func (b *Balancer) holdOrPlace(r *request) {
	wait := min((r.deadline-b.now)/4, 2*b.probeRTT+2*b.set.Tick)
	if r.need == 0 || wait < b.set.Tick {
		b.place(r)
		return
	}
	r.phase = holding
	b.waiting = append(b.waiting, r)
	r.wakeAt = b.now + wait
	b.wake(wakeRequest, uint64(r.ID), wait)
}

// circle lists a group's backends in an order that all relays agree on, so that its connections, which
// share work where they meet, meet on few; wide is 1, or 2 for twice as many. Only where groups share.
func (b *Balancer) circle(group uint64, wide int) []Backend {
	b.round = b.round[:0]
	for _, id := range b.ring(group) {
		if s := &b.fleet[id]; (!s.bad || b.now >= s.badTill) && len(b.round) < wide*probesPerPick {
			b.round = append(b.round, id)
		}
	}
	return b.round
}

// rank returns the first n of all listed backends in a group's order, or of those that are well.
func (b *Balancer) rank(group uint64, n int, well bool) (out []Backend) {
	top := make([]uint64, n)
	for _, zone := range b.zones {
		for _, id := range zone {
			if s := &b.fleet[id]; well && s.bad && b.now < s.badTill {
				continue
			}
			rank := (b.fleet[id].Spot ^ group) * 0x9e3779b97f4a7c15
			rank = (rank ^ rank>>29) * 0xbf58476d1ce4e5b9
			if len(out) < n {
				out = append(out, -1)
			}
			for j := range out { // keep the best in order
				if rank > top[j] || out[j] < 0 {
					rank, top[j] = top[j], rank
					id, out[j] = out[j], id
				}
			}
		}
	}
	return out
}

// topUp probes up to n backends of a list, at random or in order, and returns how many answers are worth
// waiting for. A bad one met on the way is probed too once its time is up, but nobody waits for it.
func (b *Balancer) topUp(list []Backend, n int, random bool) (need int) {
	for i := 0; i < len(list) && need < n; i++ {
		if random {
			b.swap(list, i, i+b.rng.IntN(len(list)-i))
		}
		s := &b.fleet[list[i]]
		if s.bad && b.now < s.badTill || s.readAt >= 0 && b.now-s.readAt <= b.usable() {
			continue
		}
		b.probe(list[i])
		if !s.bad {
			need++
		}
	}
	return need
}

func (b *Balancer) probed(e Probed) {
	s := b.server(e.Backend)
	s.probeTill = 0
	switch {
	case e.Status == OK:
		if s.bad && s.errs == 0 && e.Report.Load < b.mean/2 {
			s.chill(b.now) // it holds next to nothing: a new process, which the list will tell of later
		}
		s.settle(b.now - reportLag)
		if s.silent, s.mute = 0, 0; s.errs == 0 || b.now >= s.badTill {
			s.bad = false
		}
		b.probeRTT = max(e.Took, b.probeRTT-b.probeRTT/4)
		b.read(s, e)
	case e.Status == Full || e.Status == Moot: // too many probes; it says nothing of its health
	default:
		b.leave(s, e.Status)
		if s.silent++; e.Status == Errored {
			s.mute = 0
		} else {
			s.mute++
		}
		// It is probed again after a back-off, not on every arrival that meets it.
		s.badTill = b.now + b.jittered(freshFor/2, s.silent-stillFor, errorHold)
	}
	if len(s.held) > 0 && (e.Status == OK || s.mute > 0) { // one that answers with an error still serves them
		b.look(e.Backend, s)
	}
	for _, r := range slices.Clone(b.waiting) { // some wait on meanwhile, for another zone's answers
		if r.need--; r.need < 1 {
			b.unwait(r)
			b.place(r)
		}
	}
}

func (b *Balancer) read(s *server, e Probed) {
	s.load = max(e.Report.Load, e.Report.Busy)
	if s.guess = s.load < 0; s.guess {
		s.load = b.guessed(s, e.Took)
	} else {
		b.learn(s, e.Report)
	}
	if s.bad || s.pos < 0 {
		return
	}
	s.readAt = b.now
	if !s.pooled {
		s.pooled = true
		b.pool = append(b.pool, e.Backend)
	}
}

// guessed is a load that no report tells. One that answers probes late is overdriven; else what this
// relay holds there is all there is, as at a start, or where no quota says what that adds, its part of it.
func (b *Balancer) guessed(s *server, took time.Duration) float64 {
	own := func(n int) float64 { return float64(n) + fewHeld }
	if b.slow(took) && b.loads == 0 {
		return 1
	} else if b.quota > 0 {
		return min(float64(len(s.held)*b.set.Relays)*b.supposed(), easeLoad)
	}
	return min(busyLoad*own(len(s.held))/own(b.held/max(b.listed(), 1)), easeLoad)
}

// learn follows what a connection adds to a warm backend's load: mean load over mean connections held, or
// what all relays hold where no report counts them. Quotas bound it, as who holds few has seen too little.
func (b *Balancer) learn(s *server, report Report) {
	if b.warmth(s) < 1 {
		return
	}
	conns := report.Inflight
	if conns < 0 {
		conns = b.all() / float64(max(b.listed(), 1))
	}
	b.loads += (s.load - b.loads) / 8
	b.conns += (conns - b.conns) / 8
	if b.conns >= 1 {
		b.perConn = b.loads / b.conns
	}
	if mean := b.supposed(); mean > 0 {
		b.perConn = min(b.perConn, overQuota*mean)
	}
}

// supposed is what a connection adds by what the tenants' quotas make of it, 0 where those are not told.
func (b *Balancer) supposed() float64 {
	b.most = max(b.most, b.listed()) // not fewer: a quota does not follow a crash
	if b.quota == 0 {
		return 0
	}
	return quotaOfAll * float64(b.most) / b.quota
}

// adds is what one more connection is taken to add. A relay that holds few has seen few.
func (b *Balancer) adds() float64 { return max(b.perConn, b.supposed()) }

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

// timeout is the percentile of set-up times that leaves the tolerable rate of false time-outs, padded where
// it lies near the median; before there are samples the class's aim. It doubles with each other one in a row.
func (b *Balancer) timeout(r *request) time.Duration {
	left, limit := r.deadline-b.now, b.set.Classes[r.Class].Aim
	if r.attempts > 1 || r.attempts >= b.set.MaxAttempts {
		return left // the last try may take all that is left
	}
	if n := len(b.setups); n >= setupsKept/8 {
		sorted := slices.Sorted(slices.Values(b.setups))
		high, median := sorted[min(n-1, int(float64(n)*(1-falseTimeouts)))], sorted[n/2]
		limit = max(high, padOverMedian*median, b.set.ConnectTimeout)
	}
	limit <<= min(b.late/stillFor, 4) // nothing comes in time any more: the time-out is wrong, not they
	return min(limit, left)
}

func (b *Balancer) outcome(e Outcome) {
	r := b.reqs[e.ID]
	if r == nil || r.attempts == 0 {
		return
	}
	s, was := b.server(e.Backend), r.phase
	b.unhold(r)
	switch e.Status {
	case Errored, ConnectFailed, TimedOut, Reset: // a failing backend leaves the pool at once
		if was == sent || e.Status == Reset {
			b.fault(s, e.Status)
		}
	case Full: // no reading said so; it is out until the next
		s.readAt = -1
	}
	if e.Closed || was == done || was == open {
		b.forget(r)
		return
	}
	if !e.Status.NeverRan() && r.ranOn < 0 && b.set.Classes[r.Class].Effect != Safe {
		r.ranOn, r.ranAt = e.Backend, r.sentAt
	}
	b.again(r)
}

// fault marks a backend as bad. One that errs fast looks idle and answers probes well, so it is also
// left out for a time that doubles with each failure.
func (b *Balancer) fault(s *server, why Status) {
	b.leave(s, why)
	if why == TimedOut {
		b.late++
	} else if why == Errored {
		s.errs++
		s.badTill = b.now + b.jittered(errorHold, s.errs, time.Minute)
	}
}

// leave takes a failing backend out of the pool at once. One that died comes back cold before the list tells.
func (b *Balancer) leave(s *server, why Status) {
	s.bad, s.readAt = true, -1
	if why == ConnectFailed {
		s.chill(b.now)
	}
}

// again gives a failed set-up its one more try, if the class, the clock and the tenant's bucket allow it.
func (b *Balancer) again(r *request) {
	wait := b.jittered(b.set.Classes[r.Class].Aim/4, r.attempts-1, (r.deadline-b.now)/4)
	unsafe := r.ranOn >= 0 && b.set.Classes[r.Class].Effect == Unsafe
	late := r.deadline-b.now < 4*b.set.Tick
	switch {
	case unsafe:
		b.turnAway(r, NotAgain)
	case late:
		b.turnAway(r, NoTime)
	case r.attempts >= min(2, b.set.MaxAttempts):
		b.turnAway(r, NoRetry)
	case b.tokens[r.Tenant] < 1:
		b.turnAway(r, NoTokens)
	default:
		b.tokens[r.Tenant]--
		r.phase, r.wakeAt = backoff, b.now+wait
		b.wake(wakeRequest, uint64(r.ID), wait)
	}
}

// jittered is a full-jitter back-off: anything from 0 to a base that doubles with each failure, capped.
func (b *Balancer) jittered(base time.Duration, failures int, most time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(min(most, base<<max(0, min(failures, 16)))))
}

// turnAway refuses, with a wait that grows with the key's failures here; where a refusal could hide an
// effect it fails.
func (b *Balancer) turnAway(r *request, why Why) {
	class := &b.set.Classes[r.Class]
	n := b.keys.add(r.Key)
	b.forget(r)
	if r.ranOn >= 0 && (class.Effect == Unsafe || class.Scope != ScopeAll) {
		b.do(Fail{ID: r.ID, Why: why})
		return
	}
	wait := b.jittered(class.Aim/2, n, b.set.MaxRetryAfter)
	if !b.set.RetryAfter {
		wait = 0
	}
	b.do(Refuse{ID: r.ID, RetryAfter: wait, Why: why})
}

func (b *Balancer) alarm(token uint64) {
	switch id := token / wakeKinds; token % wakeKinds {
	case wakeRequest:
		r := b.reqs[RequestID(id)]
		if r == nil || b.now < r.wakeAt {
			return
		}
		switch r.phase {
		case holding:
			b.unwait(r)
			b.place(r)
		case backoff:
			b.ready(r)
		}
	case wakeWatch:
		b.watching = false
		for i, dark := 0, !b.set.TellsDelay; i < len(b.fleet); i++ { // then one busy or unread is watched too
			s := &b.fleet[i]
			if len(s.held) > 0 && (b.mean > busyLoad || dark && (s.load == 0 || s.guess || b.estimate(s) > busyLoad)) {
				if b.talk.Shared && s.readAt >= 0 && b.now-s.readAt <= b.usable() {
					b.look(Backend(i), s)
				} else {
					b.probe(Backend(i))
				}
			}
		}
		b.watch()
	case wakeDiscovery:
		b.subscribe(id)
	case wakeShift:
		b.shift(Backend(id), &b.fleet[id])
	}
}

// watch keeps the timer for looking at the backends that hold this relay's connections.
func (b *Balancer) watch() {
	if !b.watching && b.held > 0 {
		b.watching = true
		b.wake(wakeWatch, 0, watchEvery/2+time.Duration(b.jitter*float64(watchEvery/4)))
	}
}

// look judges a backend that holds our connections. All relays that see it overdriven move only their
// part of the excess, drawn at random; off a silent one each goes after its own look. Nothing moves
// unless the pool has a better place: if everything looks bad, it is better to stay.
func (b *Balancer) look(id Backend, s *server) {
	part, load := 1.0, b.estimate(s)
	switch {
	case s.mute > 0:
		if s.mute < stillFor {
			b.probe(id)
			return
		}
	case s.load > hotLoad && b.now < s.lagTill:
		part = (s.load - easeLoad) / s.load
	case !b.set.TellsDelay && load > (hotLoad+easeLoad)/2: // what has left since the reading is not moved again
		part = (load - easeLoad) / load
	default:
		return
	}
	// So many of them, drawn at random. A relay that holds few sees few others: it asks before it moves.
	if s.excess = int(part*float64(len(s.held)) + b.rng.Float64()); s.excess == 0 {
		return
	}
	if r := b.reqs[s.held[0]]; r != nil && b.ask(r.Group) > 0 {
		b.wake(wakeShift, uint64(id), min(2*b.probeRTT+2*b.set.Tick, freshFor/4))
		return
	}
	b.shift(id, s)
}

// shift moves a backend's excess where there is a better place.
func (b *Balancer) shift(id Backend, s *server) {
	n := s.excess
	s.excess = 0
	for i, held := range s.held {
		r := b.reqs[held]
		if r == nil || n < 1 {
			continue
		}
		pick, _ := b.best(&request{Request: Request{Group: r.Group}, ranOn: -1})
		if pick < 0 || pick == id || b.estimate(&b.fleet[pick]) > easeLoad {
			return
		}
		if r.phase == open && b.rng.Float64()*float64(len(s.held)-i) < float64(n) {
			n--
			b.do(Move{ID: held})
			r.phase = done
			b.fleet[pick].placed = append(b.fleet[pick].placed, b.now)
		}
	}
}
