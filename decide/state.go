package decide

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file keeps the books: who is listed, which requests and connections there are, which keys have
// failed. It decides nothing.

type phase uint8

const (
	holding phase = iota // waits for readings
	backoff              // waits for its second try
	sent                 // an attempt is out
	open
	done // answered; an attempt may still be out
)

type request struct {
	Request
	phase    phase
	deadline time.Duration
	backend  Backend       // of the latest attempt
	attempts int           // attempts sent
	sentAt   time.Duration // when the latest was sent
	wakeAt   time.Duration // an alarm before this is from an earlier wait
	need     int           // answers to probes it still waits for
	spilled  bool          // it has asked other zones
	awaited  bool          // it has waited for the first list
	widened  int           // 1 once it has asked beyond its group's circle
	ranOn    Backend       // not safe: where the first attempt that may have run went, or -1
	ranAt    time.Duration
}

type server struct {
	Entry
	pos       int           // place in its zone's list, -1 if nothing new may go there
	load      float64       // at the last reading
	readAt    time.Duration // when that came, -1 if it may not be used
	pooled    bool
	probeTill time.Duration   // a probe is under way, or lost, until then
	sent      []time.Duration // when, own attempts of the last while, as rule 4 counts it
	asks      []time.Duration // when it was asked for as a cold one, of the last while
	placed    []time.Duration // when, own placements that the reading may not count yet
	others    []time.Duration // the same of other relays', where they tell
	held      []RequestID     // own open connections and attempts
	left      []time.Duration // the same of own connections that are gone
	guess     bool            // no reading has come yet: the load is what this relay holds there
	bad       bool            // failed, erred or silent: out until a good probe
	badTill   time.Duration
	lagTill   time.Duration // a message there was late; it is taken for full until then
	errs      int           // failures in a row
	silent    int           // probes in a row that brought no reading
	mute      int           // and no answer at all
	excess    int           // own connections that are to move from here
	coldAt    time.Duration // start of its warm-up, -1 if warm
}

// Balancer makes one relay's decisions. It is not safe for use by several goroutines at once.
type Balancer struct {
	set      Settings
	rng      *rand.Rand
	jitter   float64 // of all periodic timers, fixed by the relay's number
	now      time.Duration
	out      []Action
	fleet    []server
	zones    [][]Backend // backends that may be given work
	round    []Backend   // scratch for circle
	pool     []Backend   // those with a usable reading
	reqs     map[RequestID]*request
	waiting  []*request
	tokens   []float64 // retry tokens of each tenant; the last are those of requests without one
	setups   []time.Duration
	setupAt  int
	probeRTT time.Duration
	usual    time.Duration // what probes take that come in good time
	loads    float64       // mean of warm backends' readings
	conns    float64       // mean of the connections they hold
	perConn  float64       // load that a connection adds, as a part of a backend's capacity
	quota    float64       // connections of all tenants within their shares, 0 if not told
	most     int           // backends listed at once so far
	mean     float64       // load of the pool
	held     int           // own open connections
	began    time.Duration
	arrived  float64
	recent   float64 // requests of late, fading
	recentAt time.Duration
	keys     failures
	watching bool
	late     int  // set-ups timed out since the last that came
	asked    int  // failed calls to discovery in a row
	first    bool // the first call to discovery is still to be made
	sooner   bool // and is to be made before its turn
	usedList bool // some list has had a backend to use
	talk     Fleet
	prunedAt time.Duration // when the pool was pruned
	atHome   int           // and how many of it were of this relay's zone
	rings    map[uint64]ring
	listing  uint64 // rises as backends come to or leave the lists
}

// New returns the Balancer of a relay that has just started. Settings that make no sense are replaced
// by the nearest that do.
func New(set Settings, seed uint64) *Balancer {
	set.Relays = max(set.Relays, 1)
	set.Zones = max(set.Zones, int(set.Zone)+1, 1)
	set.Zone = max(set.Zone, 0)
	set.MaxAttempts = max(set.MaxAttempts, 1)
	if set.Rules.StartCapacity <= 0 || set.Rules.StartCapacity > 1 {
		set.Rules.StartCapacity = 1
	}
	if set.Rules.AskWithin <= 0 {
		set.Rules.AskWithin = 10 * time.Second
	}
	if set.Rules.FallFor <= 0 {
		set.Rules.FallFor = time.Second
	}
	if len(set.Classes) == 0 {
		set.Classes = []ClassInfo{{Aim: time.Second, Deadline: time.Second}}
	}
	_, golden := math.Modf(float64(set.Me) * math.Phi)
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, uint64(set.Me))), jitter: golden, began: -1, probeRTT: time.Second,
		zones: make([][]Backend, set.Zones), reqs: map[RequestID]*request{}, tokens: make([]float64, len(set.Tenants)+1)}
	b.talk = Fleet{Relays: set.Relays, Share: 1 / float64(set.Relays), Others: -1, Held: -1}
	for i := range b.tokens {
		b.tokens[i] = retryBurst
	}
	for _, t := range set.Tenants {
		b.quota += t.Quota
	}
	return b
}

// chill starts a backend's warm-up: it is another process now.
func (s *server) chill(at time.Duration) {
	s.coldAt, s.errs, s.readAt = at, 0, -1
}

// erring tells whether it answered the latest probe with an error, as one does that drains before the list tells.
func (s *server) erring() bool { return s.silent > s.mute }

// settle drops the placements that a reading counts: those made before it was taken.
func (s *server) settle(taken time.Duration) {
	for _, list := range []*[]time.Duration{&s.placed, &s.others, &s.left} {
		*list = slices.DeleteFunc(*list, func(at time.Duration) bool { return at <= taken })
	}
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) wake(kind, id uint64, after time.Duration) {
	b.do(Timer{After: max(after, b.set.Tick), Token: id*wakeKinds + kind})
}

// probe asks a backend for its load, unless that is under way.
func (b *Balancer) probe(id Backend) {
	if s := &b.fleet[id]; b.now >= s.probeTill {
		s.probeTill = b.now + freshFor
		b.do(Probe{Backend: id})
	}
}

// server finds a backend's state; one that no list has named yet is made, and is given nothing.
func (b *Balancer) server(id Backend) *server {
	for int(id) >= len(b.fleet) {
		b.fleet = append(b.fleet, server{pos: -1, readAt: -1, coldAt: -1})
	}
	return &b.fleet[id]
}

// enter writes one line of discovery's list into the books.
func (b *Balancer) enter(e Entry) {
	s := b.server(e.Backend)
	was, spot := s.pos >= 0, s.Spot
	if s.pos >= 0 && (e.Mode != Ready || e.Zone != s.Zone) {
		list := b.zones[s.Zone]
		b.swap(list, s.pos, len(list)-1)
		b.zones[s.Zone] = list[:len(list)-1]
		s.pos, s.readAt = -1, -1
	}
	s.Entry = e
	if s.pos < 0 && e.Mode == Ready && int(e.Zone) < len(b.zones) {
		s.pos = len(b.zones[e.Zone])
		b.zones[e.Zone] = append(b.zones[e.Zone], e.Backend)
	}
	if is := s.pos >= 0; is != was || is && s.Spot != spot {
		b.listing++
	}
}

// fresh prunes the pool and counts the readings that are young or on their way. Of a large pool some may be
// older for a moment: to look at all of it for each request would cost more than all else.
func (b *Balancer) fresh() int {
	if len(b.pool) > mostPriced && b.now-b.prunedAt < freshFor/16 {
		return b.atHome
	}
	n, sum, keep := 0, 0.0, b.pool[:0]
	for _, id := range b.pool {
		s := &b.fleet[id]
		if s.readAt < 0 || b.now-s.readAt > b.usable() {
			s.pooled = false
			continue
		}
		keep = append(keep, id)
		sum += s.load
		if s.Zone == b.set.Zone {
			n++
		}
	}
	if b.pool = keep; len(keep) > 0 {
		b.mean = sum / float64(len(keep))
	}
	b.prunedAt, b.atHome = b.now, n
	return n
}

// told takes in what another relay read: evidence with an age. It is no word of a server that failed this relay.
func (b *Balancer) told(e Told) {
	if e.Sent != 0 {
		s := b.server(e.Backend)
		list, n := &s.others, e.Sent
		if n < 0 {
			list, n = &s.left, -n
		}
		if b.now-e.Age+reportLag > s.readAt {
			*list = append(*list, slices.Repeat([]time.Duration{b.now - e.Age}, min(n, max(othersKept-len(*list), 0)))...)
		}
		return
	}
	if s := b.server(e.Backend); !s.bad && s.pos >= 0 && b.now-e.Age > s.readAt {
		s.settle(b.now - e.Age - reportLag)
		b.read(s, Probed{Backend: e.Backend, Report: e.Report})
		s.readAt = b.now - e.Age
	}
}

// priced is how many readings a placement looks at. Where all relays have the same readings of all backends, each goes by
// two drawn at random: the one that reads least would get all that comes until the next reading. Of nine relays before
// twelve backends one backend got 1.5 to 1.9 of its fair part where all were looked at, 1.1 to 1.7 with four, 1.1 to 1.4 with
// three, 1.1 to 1.2 with two; each going by probes of its own, 1.1 to 1.25.
func (b *Balancer) priced() int {
	if b.talk.Shared {
		return probesPerPick / 2
	}
	return mostPriced
}

// othersKept bounds what is kept of other relays' placements at one backend.
const othersKept = 1024

// unseen is the time of which neither readings nor, where other relays tell what they send, their word speaks yet: a round of
// word and its way through the fleet.
func (b *Balancer) unseen() time.Duration {
	if b.talk.Summed {
		return reportLag / 2
	}
	return reportLag
}

// usable is how old a reading may be that a placement goes by: one that is passed on is older, and comes unasked.
func (b *Balancer) usable() time.Duration {
	if b.talk.Shared {
		return 2 * freshFor
	}
	return freshFor
}

// listed is how many backends may be given work.
func (b *Balancer) listed() (n int) {
	for _, zone := range b.zones {
		n += len(zone)
	}
	return n
}

func (b *Balancer) swap(list []Backend, i, j int) {
	list[i], list[j] = list[j], list[i]
	b.fleet[list[i]].pos, b.fleet[list[j]].pos = i, j
}

func (b *Balancer) track(e Request) *request {
	e.Class = min(max(e.Class, 0), Class(len(b.set.Classes)-1))
	if e.Tenant < 0 || int(e.Tenant) >= len(b.set.Tenants) {
		e.Tenant = Tenant(len(b.set.Tenants))
	}
	if !b.set.Groups { // then a group means nothing here
		e.Group = 0
	}
	r := &request{Request: e, deadline: b.now + e.Left, backend: -1, ranOn: -1}
	b.reqs[e.ID] = r
	return r
}

// forget ends a request; while an attempt is out it is kept for the attempt's outcome.
func (b *Balancer) forget(r *request) {
	b.unwait(r)
	r.phase = done
	if r.backend < 0 || !slices.Contains(b.server(r.backend).held, r.ID) {
		delete(b.reqs, r.ID)
	}
}

func (b *Balancer) unwait(r *request) {
	if i := slices.Index(b.waiting, r); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

func (b *Balancer) hold(r *request) {
	s := b.server(r.backend)
	s.held = append(s.held, r.ID)
	b.held++
	if r.phase == sent {
		b.lately(s)
		s.sent = append(s.sent, b.now)
	}
}

// others notes that a cold backend is asked for, and tells how many more times it was within the window of rule 4.
func (b *Balancer) others(s *server) float64 {
	s.asks = slices.DeleteFunc(s.asks, func(at time.Duration) bool { return b.now-at >= b.set.Rules.FallFor })
	s.asks = append(s.asks, b.now)
	return float64(len(s.asks) - 1)
}

// lately is how many attempts this relay has sent a backend within the window of rule 4.
func (b *Balancer) lately(s *server) float64 {
	s.sent = slices.DeleteFunc(s.sent, func(at time.Duration) bool { return b.now-at >= b.set.Rules.FallFor })
	return float64(len(s.sent))
}

func (b *Balancer) unhold(r *request) {
	s := b.server(r.backend)
	if i := slices.Index(s.held, r.ID); i >= 0 {
		s.held = slices.Delete(s.held, i, i+1)
		s.left = append(s.left, b.now)
		b.held--
	}
}

// keysKept bounds the failing keys remembered, in each of two generations.
const keysKept = 1024

// failures counts the failures of keys. Old keys are forgotten a generation at a time.
type failures struct{ young, old map[uint64]int }

// add counts one more failure of a key and returns how many there were; key 0 stands for none.
func (f *failures) add(key uint64) int {
	if key == 0 {
		return 1
	}
	n := max(f.young[key], f.old[key]) + 1
	if f.young == nil || len(f.young) >= keysKept {
		f.young, f.old = map[uint64]int{}, f.young
	}
	f.young[key] = n
	return n
}

func (f *failures) forgive(key uint64) {
	delete(f.young, key)
	delete(f.old, key)
}

func (b *Balancer) sampleSetup(took time.Duration) {
	if len(b.setups) < setupsKept {
		b.setups = append(b.setups, took)
		return
	}
	b.setups[b.setupAt] = took
	b.setupAt = (b.setupAt + 1) % setupsKept
}

// rate is how many requests a second come here now: those of late, over the window of rule 4, and one that
// counts for the time in which one comes at this relay's usual rate. Where a relay gets a request in ten seconds,
// the one that it just got would else stand for as many as the window has room for.
func (b *Balancer) rate() float64 {
	window := b.set.Rules.FallFor.Seconds()
	b.recent *= math.Exp(-(b.now - b.recentAt).Seconds() / window)
	b.recentAt = b.now
	usual := ((b.now - b.began).Seconds() + window) / max(b.arrived, 1) // from one to the next
	return (1 + b.recent) / (usual + window)
}

// gather takes in what the relays know of each other.
func (b *Balancer) gather(f Fleet) {
	f.Relays, f.Share, f.Far = max(f.Relays, 1), max(0, min(f.Share, 1)), max(0, min(f.Far, 1))
	b.talk, b.set.Relays = f, f.Relays
}

// share is the part of a server's budget for the whole fleet that is this relay's now.
func (b *Balancer) share(s *server) float64 {
	switch {
	case b.talk.Until > 0 && b.now >= b.talk.Until:
		return 0
	case b.talk.Near != nil && !slices.Contains(b.talk.Near, s.Zone):
		return b.talk.Far
	}
	return b.talk.Share
}

// all is how many connections all relays hold: as they say, or as many each as this one.
func (b *Balancer) all() float64 {
	if b.talk.Held >= 0 {
		return float64(b.held + b.talk.Held)
	}
	return float64(b.held * b.set.Relays)
}

// ring is the beginning of a group's order, as it was at some listing.
type ring struct {
	listing uint64
	order   []Backend
}

// ringsKept bounds the groups whose order is kept; ringLen is how much of it, since backends may be bad.
const (
	ringsKept = 4096
	ringLen   = 4 * probesPerPick
)

// ring returns the beginning of a group's order, or those in it that are well where too few of the
// beginning are.
func (b *Balancer) ring(group uint64) []Backend {
	r, ok := b.rings[group]
	if !ok || r.listing != b.listing {
		if b.rings == nil || len(b.rings) >= ringsKept {
			b.rings = map[uint64]ring{}
		}
		r = ring{listing: b.listing, order: b.rank(group, ringLen, false)}
		b.rings[group] = r
	}
	well := 0
	for _, id := range r.order {
		if s := &b.fleet[id]; !s.bad || b.now >= s.badTill {
			well++
		}
	}
	if well >= probesPerPick || len(r.order) < ringLen {
		return r.order
	}
	return b.rank(group, probesPerPick, true)
}

// slow notes how long a probe took and tells whether that is far longer than usual: work is piled up where it was. Of the usual
// it learns fast what is shorter and slowly what is longer, as many may be slow at once.
func (b *Balancer) slow(took time.Duration) bool {
	switch {
	case b.usual == 0:
		b.usual = took
	case took < b.usual:
		b.usual += (took - b.usual) / 4
	default:
		b.usual += (min(took, 2*b.usual) - b.usual) / 32
	}
	return took > 4*b.usual+b.set.Tick
}
