// Package member decides who is in the fleet and what share of a fleet-wide budget each relay may take. A Keeper is
// one relay's part in that: it is fed events, takes time as an argument, returns actions, and does no I/O.
// docs/design/members.md has the promise, the reasons and the proof's outline.
//
// All times are milliseconds of one relay's monotonic clock; no two relays' clocks are ever compared.
package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// The margin. A voter that has accepted the next view renews nobody in the one before, so that no grant of an old
// view is renewed after the new one is chosen. Whoever holds the grant stops in time by its own clock:
//
//	trusted until = when the renewal was sent + GrantFor*(1-Drift) - Grace
//	a bound waits = GrantFor*(1+Drift) from the new view's adoption
//	Grace         = 250 (from a look at the share to the end of what is done by it) + 250 (to spare)
const (
	GrantFor = 4000.0
	Drift    = 1.0 / 20 // by how much a relay's clock may run fast or slow
	Grace    = 500.0
	// RenewEvery leaves three tries in the time that a grant is trusted.
	RenewEvery = 1000.0
	// Settle is how long after a view's adoption nobody acts by an earlier one any more.
	Settle = GrantFor * (1 + Drift)
)

const (
	answerWithin = 500.0  // a ballot that has no majority by then is given up
	turnEvery    = 400.0  // between two voters' turns to propose
	stuckAfter   = 600.0  // an accepted view that nobody tells the choice of is taken up
	sentEvery    = 500.0  // a relay that sends its clients away says so as often
	sentFor      = 1500.0 // and is believed for so long
	behindFor    = 2000.0 // a peer has had a newer list of servers for so long
	graceAtStart = 1500.0 // a relay that has heard nobody for so long is alone
	foundAfter   = 700.0  // how long founders wait for each other before they make the first view
	foundLast    = 3000.0 // and at the latest they do with a majority
)

// attempt is a ballot of this relay's own.
type attempt struct {
	ballot   Ballot
	began    float64
	view     *View // proposed; nil while promises are awaited
	best     Ballot
	bestView *View
	promised map[string][]string // by voter: whom it takes for gone
	accepted map[string]bool
}

// Keeper is one relay's part in the fleet. It is not safe for concurrent use.
type Keeper struct {
	cfg    Config
	rng    *rand.Rand
	rec    Record
	view   *View // rec.View, or view 0
	hash   uint64
	own    Own
	peers  map[string]*Peer
	order  []*Peer // all of them but this relay, by name
	broken bool    // its record cannot be kept
	// What keeps the shares' sum, as tests take it out to see that they would find out.
	joint, pledges bool
	grant, settle  float64
	began          float64
	now            float64
	out            []Action
	adopted        float64 // when the view was adopted in this life

	answers   map[string]float64 // by voter: when the newest renewal that it answered was sent
	trusted   float64            // until when the share may be taken
	renewAt   float64
	try       *attempt
	round     uint64  // the highest met
	tryAt     float64 // not before this
	needSince float64 // negative: nothing is to change
	stuck     float64 // since when a view is accepted here and not chosen, negative if none is
	agreedAt  float64
	phase     Phase
	tellAt    float64
	askAt     float64 // not before this is a view asked for
	told      Digest
	seq       uint64  // of the digests
	behindAt  float64 // from when on a newer list at a peer is asked for
}

// New returns the Keeper of a relay that starts. rec is what was kept, the zero Record for none; the first action
// of the first event keeps it with the next incarnation.
func New(now float64, cfg Config, rec Record) *Keeper {
	cfg.Founders = max(cfg.Founders, 1)
	k := &Keeper{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x6d656d626572)), rec: rec, peers: map[string]*Peer{}, joint: true, pledges: true, grant: GrantFor, settle: Settle,
		began: now, now: now, adopted: now, answers: map[string]float64{}, trusted: math.Inf(-1), needSince: -1, stuck: -1, agreedAt: -1}
	if k.view = rec.View; k.view == nil {
		k.view = founding(cfg.Founders)
	}
	if k.cfg.Place >= k.view.Founders {
		k.cfg.Place = -1
	}
	k.hash = k.view.Hash()
	k.rec.Incarnation++
	if rec.Accepted != nil {
		k.stuck = now
	}
	return k
}

// Start returns the first actions.
func (k *Keeper) Start(now float64, out []Action) []Action {
	k.now, k.out = now, out
	k.save()
	k.tell(true)
	return k.out
}

// Handle takes one event and appends what is to be done about it to out.
func (k *Keeper) Handle(now float64, ev Event, out []Action) []Action {
	k.now, k.out = max(now, k.now), out
	switch e := ev.(type) {
	case Heard:
		k.heard(e)
	case Told:
		if !k.hearDigest(e) {
			return k.out
		}
	case Got:
		k.got(e.From, e.Message)
	case Own:
		k.own = e
	case Unsaved:
		k.broken, k.try = true, nil
	}
	switch e := ev.(type) {
	case Got:
		if e.Kind == Renew || e.Kind == Renewed { // most of what comes, and nothing but the grant hangs on it
			return k.out
		}
	}
	k.step()
	return k.out
}

// Next is when a Tick is due at the latest.
func (k *Keeper) Next() float64 {
	next := k.now + 100
	if k.trusted > k.now {
		next = min(next, k.trusted)
	}
	return min(next, max(k.renewAt, k.now+10))
}

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

func (k *Keeper) save() {
	if !k.broken {
		k.do(Save{k.rec})
	}
}

func (k *Keeper) send(to string, m Message) {
	m.From, m.Place = k.rec.Incarnation, k.cfg.Place
	if to == k.cfg.Name {
		k.got(to, m)
		return
	}
	k.do(Send{to, m})
}

// peer finds or makes a peer's entry.
func (k *Keeper) peer(name string) *Peer {
	p := k.peers[name]
	if p == nil {
		p = &Peer{Name: name, Since: k.now, ToldAt: -1}
		k.peers[name] = p
		if name != k.cfg.Name {
			i, _ := slices.BinarySearchFunc(k.order, name, func(p *Peer, n string) int { return strings.Compare(p.Name, n) })
			k.order = slices.Insert(k.order, i, p)
		}
	}
	return p
}

func (k *Keeper) heard(e Heard) {
	p := k.peer(e.Name)
	if e.Name == k.cfg.Name || p.Word == e.Word {
		return
	}
	p.Word, p.Since = e.Word, k.now
	if e.Word == Alive {
		k.tellAt = min(k.tellAt, k.now+100) // a peer that is new here has not heard us either
	}
	k.do(Changed{What: "peer", Name: e.Name, State: e.Word.String(), Cause: "failure detection"})
}

// hearDigest takes in a digest and tells whether anything may follow from it: most bring only new figures.
func (k *Keeper) hearDigest(e Told) (news bool) {
	p, d := k.peer(e.Name), e.Digest
	if e.Name == k.cfg.Name || d.Incarnation < p.Digest.Incarnation ||
		d.Incarnation == p.Digest.Incarnation && d.Seq <= p.Digest.Seq { // overtaken on its way, or told before
		return false
	}
	old := p.Digest
	news = p.ToldAt < 0 || d.Incarnation != old.Incarnation || d.Doing != old.Doing || d.Epoch != old.Epoch || d.Pledged != old.Pledged || d.List != old.List
	if p.ToldAt >= 0 && d.Incarnation > p.Digest.Incarnation {
		k.do(Changed{What: "peer", Name: e.Name, State: "back", Cause: "a higher incarnation"})
	} else if p.ToldAt >= 0 && d.Doing != p.Digest.Doing {
		k.do(Changed{What: "peer", Name: e.Name, State: d.Doing.String(), Cause: "its digest"})
	}
	p.Digest, p.ToldAt = d, k.now
	return news
}

// behind asks for the list of servers out of turn once a peer has had a newer one for a while: word of a change
// reaches all within moments, unless this relay's watch has gone silent.
func (k *Keeper) behind() {
	newest := int64(0)
	for _, p := range k.order {
		if p.ToldAt >= 0 && p.Word == Alive {
			newest = max(newest, p.Digest.List)
		}
	}
	switch {
	case newest <= k.own.List || k.own.List == 0:
		k.behindAt = k.now + behindFor*(1+k.rng.Float64()/2)
	case k.now >= k.behindAt:
		k.behindAt = k.now + 4*behindFor*(1+k.rng.Float64()/2)
		k.do(Refresh{newest})
	}
}

// sorted are the peers in the order of names, so that a Keeper with the same past does the same.
func (k *Keeper) sorted() []*Peer { return k.order }

// related tells whether a peer's digest is of this relay's chain: view 0 is the same to those who found alike.
func (k *Keeper) related(p *Peer) bool {
	return p.ToldAt >= 0 && (p.Digest.Epoch > 0 || p.Digest.Founders == k.view.Founders)
}

// alive tells whether a relay counts as there.
func (k *Keeper) alive(name string) bool {
	if name == k.cfg.Name {
		return true
	}
	p := k.peers[name]
	return p != nil && (p.Word == Alive || p.Word == Suspected)
}

// whoVotes is the name by which a relay votes in the view held, and nameOf the relay that a voter is.
func (k *Keeper) whoVotes(name string, place int) string {
	if k.view.Epoch == 0 {
		return placeName(place)
	}
	return name
}

func (k *Keeper) nameOf(voter string) string {
	if k.view.Epoch > 0 {
		return voter
	}
	if placeName(k.cfg.Place) == voter {
		return k.cfg.Name
	}
	for _, p := range k.sorted() {
		if p.ToldAt >= 0 && p.Digest.Epoch == 0 && p.Digest.Founders == k.view.Founders && placeName(p.Digest.Place) == voter && k.alive(p.Name) {
			return p.Name
		}
	}
	return ""
}

// votes tells whether this relay is a voter of the view that it holds.
func (k *Keeper) votes() bool {
	return !k.broken && slices.Contains(k.view.Voters, k.whoVotes(k.cfg.Name, k.cfg.Place))
}

// reach is how many voters of the view held are taken for alive.
func (k *Keeper) reach() (n int) {
	for _, v := range k.view.Voters {
		if name := k.nameOf(v); name != "" && k.alive(name) {
			n++
		}
	}
	return n
}

// step is what time brings.
func (k *Keeper) step() {
	k.catchUp()
	k.pledge()
	k.renew()
	k.propose()
	k.judge()
	k.tell(false)
	k.behind()
}

// catchUp asks for a view that others hold and nobody has told.
func (k *Keeper) catchUp() {
	if k.now < k.askAt {
		return
	}
	var best *Peer
	for _, p := range k.order {
		if p.Word == Alive && p.ToldAt >= 0 && p.Digest.Epoch > k.view.Epoch && (best == nil || p.Digest.Epoch > best.Digest.Epoch) {
			best = p
		}
	}
	if best != nil {
		k.askAt = k.now + turnEvery
		k.send(best.Name, Message{Kind: Nay, Epoch: k.view.Epoch})
	}
}

// pledge hands this relay's place over to the fleet, once a majority that can make a view is heard. From the moment
// it is on disk the relay takes nothing but what a view grants.
func (k *Keeper) pledge() {
	if k.rec.Pledged || k.broken || k.own.Doing == Leaving {
		return
	}
	ready := false
	if k.view.Epoch == 0 {
		ready = k.reach() >= k.view.majority()
		for _, p := range k.sorted() { // or the fleet is older than this relay
			ready = ready || p.Word == Alive && p.ToldAt >= 0 && p.Digest.Epoch > 0
		}
	} else {
		ready = k.reach() >= k.view.majority()
	}
	if ready {
		k.rec.Pledged = true
		k.save()
		k.tell(true)
	}
}

// renew asks the voters for another while.
func (k *Keeper) renew() {
	if k.view.Epoch == 0 || !k.view.Seat(k.cfg.Name).In || k.now < k.renewAt || k.broken {
		return
	}
	k.renewAt = k.now + RenewEvery
	for _, v := range k.view.Voters {
		k.send(v, Message{Kind: Renew, Epoch: k.view.Epoch, At: k.now})
	}
}

// trust reckons until when the share may be taken.
func (k *Keeper) trust() {
	sent := make([]float64, 0, MostVoters)
	for _, v := range k.view.Voters {
		if at, ok := k.answers[v]; ok {
			sent = append(sent, at)
		}
	}
	if need := k.view.half(); len(sent) >= need {
		slices.SortFunc(sent, func(a, b float64) int {
			if a > b {
				return -1
			}
			return 1
		})
		k.trusted = max(k.trusted, sent[need-1]+k.grant*(1-Drift)-Grace)
	}
}

func (k *Keeper) got(from string, m Message) {
	if from != k.cfg.Name && k.peer(from).Digest.Incarnation > m.From {
		return // from a process that is known to have ended
	}
	switch m.Kind {
	case Held:
		k.adopt(m.View)
	case Renewed:
		if m.To == k.rec.Incarnation && m.At <= k.now && slices.Contains(k.view.Voters, from) {
			k.answers[from] = max(k.answers[from], m.At)
			k.trust()
		}
	case Nay:
		if m.Epoch < k.view.Epoch {
			k.send(from, Message{Kind: Held, View: k.view})
		}
		if t := k.try; t != nil && t.ballot.less(m.Ballot) {
			k.round = max(k.round, m.Ballot.Round)
			k.giveUp()
		}
	case Promise, Accepted:
		k.answered(from, m)
	case Renew, Ask, Propose:
		k.vote(from, m)
	}
}

// vote answers as a voter. Whoever is behind is told the view; whoever is ahead is asked for it by a Nay.
func (k *Keeper) vote(from string, m Message) {
	epoch := m.Epoch
	switch {
	case k.broken:
		return
	case epoch < k.view.Epoch:
		k.send(from, Message{Kind: Held, View: k.view})
		return
	case epoch > k.view.Epoch:
		k.send(from, Message{Kind: Nay, Epoch: k.view.Epoch, To: m.From})
		return
	case !k.votes():
		return
	}
	switch m.Kind {
	case Renew:
		if k.rec.Accepted == nil { // else the next view may be chosen already
			k.send(from, Message{Kind: Renewed, Epoch: epoch, At: m.At, To: m.From})
		}
	case Ask:
		if m.Ballot.less(k.rec.Promised) {
			k.send(from, Message{Kind: Nay, Epoch: epoch, Ballot: k.rec.Promised, To: m.From})
			return
		}
		k.rec.Promised = m.Ballot
		k.save()
		k.send(from, Message{Kind: Promise, Epoch: epoch, Ballot: m.Ballot, By: k.rec.AcceptedBy, View: k.rec.Accepted, Gone: k.gone(), To: m.From})
	case Propose:
		if m.View == nil || m.View.Epoch != epoch+1 {
			return
		}
		if m.Ballot.less(k.rec.Promised) {
			k.send(from, Message{Kind: Nay, Epoch: epoch, Ballot: k.rec.Promised, To: m.From})
			return
		}
		k.rec.Promised, k.rec.AcceptedBy, k.rec.Accepted, k.stuck = m.Ballot, m.Ballot, m.View, k.now
		k.save()
		k.send(from, Message{Kind: Accepted, Epoch: epoch, Ballot: m.Ballot, To: m.From})
	}
}

// adopt takes up a view that is chosen.
func (k *Keeper) adopt(v *View) {
	if v == nil || v.Epoch <= k.view.Epoch || len(v.Voters) == 0 || v.Founders < 1 {
		return
	}
	k.view, k.rec.View, k.hash = v, v, v.Hash()
	k.rec.Accepted, k.rec.AcceptedBy, k.stuck = nil, Ballot{}, -1
	k.try, k.needSince, k.adopted, k.renewAt = nil, -1, k.now, k.now
	k.save()
	k.do(Changed{What: "view", State: v.summary()})
	k.tell(true)
}

// summary is a view in a few words.
func (v *View) summary() string {
	b := []byte("epoch ")
	b = appendUint(b, v.Epoch)
	b = append(b, ", members"...)
	for i, name := range v.Members() {
		if i == 16 {
			return string(append(b, " ..."...))
		}
		b = append(append(b, ' '), name...)
	}
	return string(b)
}

func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// gone are the members that this relay takes for gone: failed, or leaving by their own word.
func (k *Keeper) gone() (names []string) {
	for _, s := range k.view.Seats {
		if p := k.peers[s.Name]; s.In && s.Name != k.cfg.Name && p != nil && (p.Word == Failed || p.Word == Left || p.Digest.Doing == Leaving && p.ToldAt >= 0) {
			names = append(names, s.Name)
		}
	}
	if k.own.Doing == Leaving && k.view.Seat(k.cfg.Name).In {
		names = append(names, k.cfg.Name)
	}
	return names
}

// want is what the next view is to be made of, if gone are gone; changed says whether it differs from the one held.
func (k *Keeper) want(gone func(name string) bool) (w wanted, changed bool) {
	v := k.view
	w.idle, w.released = map[string]bool{}, map[string]bool{}
	take := func(name string, d Digest) {
		_, seated := v.find(name)
		in := v.Seat(name).In
		switch {
		case in && gone(name):
			changed = true
			return
		case !in && (!d.Pledged || d.Doing == Leaving || gone(name)):
			return
		case !in:
			changed = true
			if !seated && slices.Contains(v.Unclaimed, d.Place) && d.Founders == v.Founders {
				w.places = append(w.places, d.Place)
			}
		}
		w.members = append(w.members, name)
		idle := d.Doing == Draining
		w.idle[name] = idle
		changed = changed || in && idle != v.Seat(name).Idle
	}
	names := append([]string{k.cfg.Name}, v.Members()...)
	for _, p := range k.sorted() {
		if p.Word == Alive && k.related(p) {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		d := k.digest()
		if p := k.peers[name]; name != k.cfg.Name {
			if d = (Digest{Place: -1}); p != nil && p.ToldAt >= 0 {
				d = p.Digest
			} else if s := v.Seat(name); s.In { // a member that has not said a word in this relay's life
				d.Pledged = true
				if s.Idle {
					d.Doing = Draining
				}
			}
		}
		take(name, d)
	}
	// Word that somebody holds this view is good for ever, as what is held is on disk.
	w.quiet = k.now >= k.adopted+k.settle
	all := true
	for _, s := range v.Seats {
		p := k.peers[s.Name]
		switch {
		case s.Name == k.cfg.Name, p != nil && p.ToldAt >= 0 && p.Digest.Epoch >= v.Epoch, s.Bound <= s.Share:
			w.released[s.Name] = true
		default:
			all = false
		}
	}
	w.quiet = w.quiet || all
	w.quiet, w.loose = w.quiet || !k.joint, !k.joint
	if len(w.members) == 0 {
		return w, false
	}
	return w, changed || w.quiet && !v.Settled() && v.improves(w)
}

// improves tells whether the next view would bring a share nearer to its target, or let a bound go.
func (v *View) improves(w wanted) bool {
	n := v.next(w)
	for _, s := range n.Seats {
		if s.In && s.Share > v.Seat(s.Name).Share {
			return true
		}
	}
	return len(n.Seats) < len(v.Seats)
}

// propose makes the next view once there is need and it is this voter's turn.
func (k *Keeper) propose() {
	if t := k.try; t != nil && k.now >= t.began+answerWithin {
		k.giveUp()
	}
	if k.try != nil || k.now < k.tryAt || !k.votes() {
		return
	}
	mine := map[string]bool{}
	for _, name := range k.gone() {
		mine[name] = true
	}
	_, need := k.want(func(name string) bool { return mine[name] })
	taken := k.stuck >= 0 && k.now >= k.stuck+stuckAfter
	if !need && !taken {
		k.needSince = -1
		return
	}
	if k.needSince < 0 {
		k.needSince = k.now
	}
	if k.now < k.needSince+k.turn() || k.reach() < k.view.majority() || !taken && k.founders() {
		return
	}
	k.round = max(k.round, k.rec.Promised.Round) + 1
	t := &attempt{ballot: Ballot{k.round, k.cfg.Name}, began: k.now, promised: map[string][]string{}, accepted: map[string]bool{}}
	k.try = t
	k.toVoters(Message{Kind: Ask, Epoch: k.view.Epoch, Ballot: t.ballot})
}

// founders tells whether those who found the fleet should wait for more of them.
func (k *Keeper) founders() bool {
	return k.view.Epoch == 0 && (k.now < k.needSince+foundAfter || k.now < k.needSince+foundLast && k.reach() < len(k.view.Voters))
}

// turn is how long this voter lets those before it go first.
func (k *Keeper) turn() float64 {
	wait := 0.0
	for _, v := range k.view.Voters {
		name := k.nameOf(v)
		if name == k.cfg.Name {
			break
		}
		if name != "" && k.alive(name) {
			wait += turnEvery
		}
	}
	return wait
}

func (k *Keeper) toVoters(m Message) {
	view, t := k.view, k.try
	for _, v := range view.Voters {
		if name := k.nameOf(v); name != "" && k.view == view && k.try == t {
			k.send(name, m)
		}
	}
}

// giveUp ends a ballot; another may follow after a while drawn at random.
func (k *Keeper) giveUp() {
	k.try = nil
	k.tryAt = k.now + turnEvery*(0.25+k.rng.Float64())
}

// answered counts a promise or an acceptance.
func (k *Keeper) answered(from string, m Message) {
	t, voter := k.try, k.whoVotes(from, m.Place)
	if t == nil || m.Epoch != k.view.Epoch || m.Ballot != t.ballot || m.To != k.rec.Incarnation || !slices.Contains(k.view.Voters, voter) {
		return
	}
	switch {
	case m.Kind == Promise && t.view == nil:
		t.promised[voter] = m.Gone
		if m.View != nil && (t.bestView == nil || t.best.less(m.By)) {
			t.best, t.bestView = m.By, m.View
		}
		if len(t.promised) < k.view.majority() {
			return
		}
		if t.view = t.bestView; t.view == nil { // nothing may have been chosen: the choice is free
			w, need := k.want(func(name string) bool { return k.mostSay(t, name) })
			if !need {
				k.giveUp()
				return
			}
			t.view = k.view.next(w)
		}
		k.toVoters(Message{Kind: Propose, Epoch: k.view.Epoch, Ballot: t.ballot, View: t.view})
	case m.Kind == Accepted && t.view != nil:
		t.accepted[voter] = true
		if len(t.accepted) < k.view.majority() {
			return
		}
		old, chosen := k.view, t.view
		k.adopt(chosen)
		told := map[string]bool{k.cfg.Name: true}
		for _, name := range append(old.Members(), chosen.Members()...) {
			if !told[name] {
				told[name] = true
				k.send(name, Message{Kind: Held, View: chosen})
			}
		}
	}
}

// mostSay tells whether most of the voters that have promised, and this relay, take a member for gone: one relay's
// broken link puts nobody out.
func (k *Keeper) mostSay(t *attempt, name string) bool {
	n := 0
	for _, gone := range t.promised {
		if slices.Contains(gone, name) {
			n++
		}
	}
	return 2*n > len(t.promised)
}

// judge names the phase, for people and for what is reckoned with.
func (k *Keeper) judge() {
	was, cause := k.phase, ""
	heard := false
	for _, p := range k.order {
		heard = heard || p.Word == Alive
	}
	switch seat := k.view.Seat(k.cfg.Name); {
	case k.view.Epoch == 0 && !heard && k.now < k.began+graceAtStart:
		k.phase, cause = Starting, "nobody is heard yet"
	case k.view.Epoch == 0 && !heard:
		k.phase, cause = Alone, "nobody is heard"
	case k.view.Epoch == 0:
		k.phase, cause = Starting, "no view is agreed yet"
	case !seat.In && k.reach() >= k.view.majority():
		k.phase, cause = Starting, "not in the view"
	case seat.In && k.now >= k.trusted && k.now < k.adopted+graceAtStart && k.reach() >= k.view.majority():
		k.phase, cause = Settling, "its grant is awaited"
	case k.reach() < k.view.majority():
		k.phase, cause = CutOff, "too few voters are heard"
	case seat.In && k.now >= k.trusted:
		k.phase, cause = CutOff, "too few voters renew the grant"
	case k.view.Settled():
		k.phase, cause = Agreed, "every share is at its target"
	default:
		k.phase, cause = Settling, "a share waits for others to shrink"
	}
	if k.phase == Agreed || k.phase == Settling {
		k.agreedAt = k.now
	}
	if k.phase != was {
		k.do(Changed{What: "phase", State: k.phase.String(), Cause: cause})
	}
}

// digest is what this relay tells of itself.
func (k *Keeper) digest() Digest {
	return Digest{Version: DigestVersion, Incarnation: k.rec.Incarnation, Doing: k.own.Doing, Zone: k.own.Zone, Rate: k.own.Rate, Held: k.own.Held,
		List: k.own.List, Sent: k.own.Sent, Epoch: k.view.Epoch, Hash: k.hash, Founders: k.view.Founders, Place: k.cfg.Place, Pledged: k.rec.Pledged}
}

// tellEvery is the time between two digests: it grows with the fleet, so that what a relay gets does not.
func (k *Keeper) tellEvery() float64 { return max(1000, 50*float64(len(k.peers))) }

// tell publishes the digest: at once where the state, the list, the view or a pledge is new, else now and then.
func (k *Keeper) tell(now bool) {
	d, t := k.digest(), k.told
	now = now || d.Doing != t.Doing || d.List != t.List || (d.Sent > 0) != (t.Sent > 0) || d.Epoch != t.Epoch || d.Pledged != t.Pledged
	if !now && k.now < k.tellAt {
		return
	}
	k.seq++
	d.Seq = k.seq
	k.told, k.tellAt = d, k.now+k.tellEvery()
	if d.Sent > 0 {
		k.tellAt = k.now + sentEvery
	}
	k.do(Publish{d})
}

// Reckoning is what this relay is to reckon with now.
type Reckoning struct {
	Phase  Phase
	Epoch  uint64
	Relays int     // that are there, this one too
	Share  float64 // of a fleet-wide budget, 0 to 1
	Until  float64 // when the share lapses unless it is renewed; +Inf if it does not
	Others float64 // requests a second that the others see; negative where it is not known
	Own    float64 // that this relay sees
	Held   int     // connections that the others hold; negative where it is not known
	Sent   float64 // connections a second that others send away, as they drain or leave
	Why    string  // the share
}

// Reckoning says what to reckon with. The share is to be asked for, or held against Until, right before each use.
func (k *Keeper) Reckoning(now float64) Reckoning {
	now = max(now, k.now)
	r := Reckoning{Phase: k.phase, Epoch: k.view.Epoch, Relays: max(k.cfg.Relays, 1), Others: -1, Own: k.own.Rate, Held: -1}
	r.Share, r.Until, r.Why = k.share(now)
	if k.view.Epoch == 0 {
		return r
	}
	r.Relays, r.Others, r.Held = 0, 0, 0
	for _, s := range k.view.Seats {
		if !s.In {
			continue
		}
		r.Relays++
		p := k.peers[s.Name]
		if s.Name == k.cfg.Name || p == nil || p.ToldAt < 0 || p.Word != Alive && p.Word != Suspected && k.phase != CutOff {
			continue
		}
		if p.Digest.Doing == Serving {
			r.Others += p.Digest.Rate
		}
		r.Held += p.Digest.Held
	}
	r.Relays = max(r.Relays, 1)
	for _, p := range k.order {
		if p.Digest.Doing >= Draining && now-p.ToldAt < sentFor {
			r.Sent += p.Digest.Sent
		}
	}
	return r
}

// Share is what this relay may take of a budget right now.
func (k *Keeper) Share(now float64) float64 {
	share, _, _ := k.share(max(now, k.now))
	return share
}

// share is what this relay may take now, until when, and why.
func (k *Keeper) share(now float64) (share, until float64, why string) {
	seat := k.view.Seat(k.cfg.Name)
	switch {
	case !(k.rec.Pledged && k.pledges) && slices.Contains(k.view.Unclaimed, k.cfg.Place):
		return float64(k.view.base()) / float64(Whole), math.Inf(1), "its place's, by the settings' number"
	case !k.rec.Pledged:
		return 0, math.Inf(1), "none: it has no place, and no view grants it any"
	case !seat.In:
		return 0, math.Inf(1), "none: it has handed its place over and is in no view yet"
	case k.own.Doing == Leaving:
		return 0, math.Inf(1), "none: it leaves"
	case now >= k.trusted:
		return 0, math.Inf(1), "none: its grant has run out"
	}
	return float64(seat.Share) / float64(Whole), k.trusted, "granted in the view"
}

// Incarnation is this process's.
func (k *Keeper) Incarnation() uint64 { return k.rec.Incarnation }

// Hash is the view's.
func (k *Keeper) Hash() uint64 { return k.hash }

// View returns the view held.
func (k *Keeper) View() *View { return k.view }

// Phase returns how far it is agreed.
func (k *Keeper) Phase() Phase { return k.phase }

// AgreedAt is when the view was last agreed or settling, negative for never.
func (k *Keeper) AgreedAt() float64 { return k.agreedAt }

// Peers returns what is known of all others, in the order of names.
func (k *Keeper) Peers() []Peer {
	out := make([]Peer, len(k.order))
	for i, p := range k.order {
		out[i] = *p
	}
	return out
}
