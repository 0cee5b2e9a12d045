package membership

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// world is a fleet in memory: Nodes on one set clock, each with a clock of its own that runs fast or slow, and a
// network that loses, delays, doubles and cuts. Nothing in it is left to chance but by its seed.
type world struct {
	rng    *rand.Rand
	now    float64
	nodes  []*node
	wires  []packet
	cut    map[[2]int]bool // from, to
	loss   float64
	slow   float64 // most delay of a packet
	twice  float64
	sum    float64     // the greatest sum of shares met
	change func(*Node) // takes a protection out
	epoch  uint64      // the highest that anybody has held
	strike bool        // one that has not heard of the next view when the first adopts it hears nothing any more
	early  float64     // how long before Next a Tick may come, in ms
	trace  *trace      // of all actions; nil for none
}

type node struct {
	k         *Node
	cfg       Config
	disk      Record
	up        bool
	stopped   bool
	rate      float64 // of its clock
	zero      float64 // what its clock read at the world's 0
	queue     []Event // came while it was stopped
	words     map[int]Health
	lost      map[int]float64 // since when a peer is not heard
	leaving   bool
	deaf      bool          // no packet comes to it, and it is taken for alive
	share     float64       // as of its last event
	until     time.Duration // on its clock
	parts     *Allocation
	looks     []look
	old       bool              // its program is from before cells
	told      map[string]uint64 // by cell: the newest plan that it is said to have entered
	continued uint64            // the newest plan that some cell is said to have come into from the one before
	copied    *Record           // its disk some time ago
}

// look is a look at a share of a cell's parts, or of the whole, by the world's clock. What is done by it may take effect up to
// EffectWithin later.
type look struct {
	at, share float64
	parts     *Allocation
}

type packet struct {
	at       float64
	from, to int
	ev       Event
}

func name(i int) string { return fmt.Sprintf("r%02d", i) }

func newWorld(n, founders int, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, slow: 20, early: 10}
	for i := range n {
		rate := 1 + MaxClockDrift*(2*w.rng.Float64()-1)
		if seed%2 == 0 { // as far apart as may be
			rate = 1 + MaxClockDrift*float64(2*w.rng.IntN(2)-1)
		}
		w.nodes = append(w.nodes, &node{cfg: Config{Name: name(i), BootstrapSlot: i, BootstrapSize: founders, ConfiguredRelays: founders, Seed: seed + uint64(i)},
			rate: rate, zero: 1000 * w.rng.Float64()})
	}
	return w
}

// clock is what its clock reads at a moment of the world, in ms.
func (n *node) clock(now float64) time.Duration { return duration.FromMillis(n.zero + now*n.rate) }

func (w *world) start(i int) {
	n := w.nodes[i]
	n.up, n.stopped, n.leaving, n.queue, n.words, n.lost = true, false, false, nil, map[int]Health{}, map[int]float64{}
	cfg := n.cfg
	if n.old {
		cfg.Plan, n.disk = nil, oldRecord(n.disk)
	}
	n.k, n.told, n.continued = New(n.clock(w.now), cfg, n.disk), nil, 0
	n.k.safeguards.checksVersions = !n.old
	if w.change != nil {
		w.change(n.k)
	}
	acts := n.k.Start(n.clock(w.now), nil)
	n.look(w.now)
	w.act(i, acts)
	w.feed(i, LocalState{Lifecycle: Serving, RequestRate: 10, EndpointListGeneration: 1})
}

func (w *world) kill(i int) { w.nodes[i].up = false }

func (w *world) feed(i int, ev Event) {
	n := w.nodes[i]
	switch {
	case !n.up:
	case n.stopped:
		if len(n.queue) < 1000 {
			n.queue = append(n.queue, ev)
		}
	default:
		if n.old {
			ev = withoutAllocation(ev)
		}
		acts := n.k.Handle(n.clock(w.now), ev, nil)
		n.look(w.now)
		w.check()
		if epoch := n.k.View().Epoch; epoch > w.epoch {
			w.epoch = epoch
			w.deafen(i)
		}
		w.act(i, acts)
	}
}

// deafen lets nothing come any more to one relay that holds an earlier view than the newest, if that is what is to happen. The
// others take it for alive still, so nothing but time lets its limit go.
func (w *world) deafen(first int) {
	if !w.strike || w.epoch < 2 {
		return
	}
	var behind []int
	for j, n := range w.nodes {
		if n.up && !n.stopped && j != first && n.k.View().Epoch < w.epoch {
			behind = append(behind, j)
		}
	}
	if len(behind) == 0 {
		return
	}
	w.strike = false
	j := behind[w.rng.IntN(len(behind))]
	w.nodes[j].deaf = true
	w.wires = slices.DeleteFunc(w.wires, func(p packet) bool { return p.to == j })
}

func (w *world) wake(i int) {
	n := w.nodes[i]
	n.stopped = false
	n.look(w.now)
	w.check()
	queue := n.queue
	n.queue = nil
	for _, ev := range queue {
		w.feed(i, ev)
	}
}

func (w *world) act(i int, acts []Action) {
	for _, a := range acts {
		w.trace.add(i, w.nodes[i].share, a)
		switch a := a.(type) {
		case Save:
			w.nodes[i].disk = a.Record
		case Send:
			for j, n := range w.nodes {
				if n.cfg.Name == a.To {
					w.post(i, j, MessageReceived{From: name(i), Message: a.Message})
				}
			}
		case Publish:
			for j := range w.nodes {
				if j != i {
					w.post(i, j, StatusReceived{Name: name(i), Status: a.Status})
				}
			}
		}
	}
}

func (w *world) post(from, to int, ev Event) {
	for again := true; again; again = w.rng.Float64() < w.twice {
		if w.cut[[2]int{from, to}] || w.nodes[to].deaf || w.rng.Float64() < w.loss {
			continue
		}
		delay := 1 + w.slow*w.rng.Float64()
		if w.twice > 0 && w.rng.Float64() < 0.02 {
			delay += 8000 * w.rng.Float64() // an old packet, still under way
		}
		w.wires = append(w.wires, packet{w.now + delay, from, to, ev})
	}
}

// check is the promise: each relay looks at its share at every moment, and what it does by a look counts for EffectWithin from then
// on, also where it is stopped or killed meanwhile. A share changes with an event, or lapses.
func (w *world) check() {
	sum := 0.0
	for _, n := range w.nodes {
		if n.up && !n.stopped && n.clock(w.now) < n.until {
			n.looked(w.now)
		}
		sum += n.counted(w.now)
	}
	if sum > w.sum {
		w.sum = sum
	}
}

// looked takes down a look. Of several only those are kept that may count most at some later moment: by one Allocation their shares
// fall.
func (n *node) looked(now float64) {
	last := len(n.looks) - 1
	if last >= 0 && n.looks[last].parts == n.parts && n.looks[last].share == n.share {
		n.looks[last].at = now
		return
	}
	n.looks = slices.DeleteFunc(n.looks, func(l look) bool { return l.parts == n.parts && l.share <= n.share })
	n.looks = append(n.looks, look{now, n.share, n.parts})
}

// counted is the greatest share by which something may take effect now.
func (n *node) counted(now float64) (share float64) {
	n.forget(now)
	for _, l := range n.looks {
		share = max(share, l.share)
	}
	return share
}

// countedIn is the most that may take effect now at servers of a zone, in units of Whole.
func (n *node) countedIn(zone string) (units uint64) {
	for _, l := range n.looks {
		units = max(units, portion(uint64(l.share*float64(Whole)), l.parts.part(zone)))
	}
	return units
}

// forget drops the looks by which nothing may take effect any more.
func (n *node) forget(now float64) {
	for len(n.looks) > 0 && n.looks[0].at+duration.Millis(MaxEffectDelay) < now {
		n.looks = n.looks[1:]
	}
}

// look takes down a node's share after an event.
func (n *node) look(now float64) {
	n.share, n.until, _ = n.k.budgetShare(n.clock(now))
	n.parts = n.k.View().Allocation
	if n.up && !n.stopped && n.clock(now) < n.until {
		n.looked(now)
	}
}

// detect stands for the failure detector: whoever is cut off both ways, down or stopped for failAfter is failed, by
// each relay's own sight. It may be wrong, and late, as the real one may.
const failAfter = 2000.0

func (w *world) detect() {
	for i, n := range w.nodes {
		if !n.up || n.stopped {
			continue
		}
		for j, p := range w.nodes {
			if i == j {
				continue
			}
			reached := p.up && !p.stopped && !w.cut[[2]int{i, j}] && !w.cut[[2]int{j, i}]
			word := n.words[j]
			switch {
			case reached:
				delete(n.lost, j)
				if word != Alive {
					n.words[j] = Alive
					w.feed(i, PeerHealth{name(j), Alive})
				}
			case word == Alive:
				if n.lost[j] == 0 {
					n.lost[j] = w.now
				}
				if w.now >= n.lost[j]+failAfter*(0.5+w.rng.Float64()) {
					n.words[j] = Failed
					w.feed(i, PeerHealth{name(j), Failed})
				}
			}
		}
	}
}

// run lets time pass.
func (w *world) run(ms float64) {
	for until := w.now + ms; w.now < until; {
		w.now += 10
		due := w.wires[:0:0]
		left := w.wires[:0]
		for _, p := range w.wires {
			if p.at <= w.now {
				due = append(due, p)
			} else {
				left = append(left, p)
			}
		}
		w.wires = left
		slices.SortStableFunc(due, func(a, b packet) int {
			switch {
			case a.at < b.at:
				return -1
			case a.at > b.at:
				return 1
			}
			return 0
		})
		for _, p := range due {
			w.feed(p.to, p.ev)
		}
		if int(w.now)%100 == 0 {
			w.detect()
		}
		for i, n := range w.nodes {
			if n.up && !n.stopped && n.clock(w.now) >= n.k.Next()-duration.FromMillis(w.early) {
				w.feed(i, Tick{})
			}
		}
		w.check()
	}
}

// agreed tells whether all that are up hold one view of just them, settled.
func (w *world) agreed() error {
	var ref *View
	up := 0
	for _, n := range w.nodes {
		if n.up {
			up++
		}
	}
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		v := n.k.View()
		if ref == nil {
			ref = v
		}
		if v.Hash() != ref.Hash() || len(v.MemberNames()) != up || !v.Settled() || n.k.Phase() != PhaseAgreed {
			return fmt.Errorf("%s: %s, %s, %d members, settled %v; %d are up", n.cfg.Name, n.k.Phase(), v.summary(), len(v.MemberNames()), v.Settled(), up)
		}
	}
	return nil
}

func TestFleetForms(t *testing.T) {
	w := newWorld(7, 7, 1)
	for i := range w.nodes {
		w.start(i)
	}
	w.run(6000)
	if err := w.agreed(); err != nil {
		t.Fatal(err)
	}
	w.kill(3)
	w.run(failAfter*1.5 + 2000)
	for _, n := range w.nodes {
		if n.up && n.k.View().Member(name(3)).In {
			t.Errorf("%s still has the killed one in its view", n.cfg.Name)
		}
	}
	w.run(duration.Millis(WaitOut) + 2000)
	if err := w.agreed(); err != nil {
		t.Fatal(err)
	}
	if got := w.nodes[0].k.Estimate(w.nodes[0].clock(w.now)).BudgetShare; math.Abs(got-1.0/6) > 1e-6 {
		t.Errorf("a share of six is %v", got)
	}
	w.start(3)
	w.run(8000)
	if err := w.agreed(); err != nil {
		t.Fatal(err)
	}
	if w.sum > 1 {
		t.Errorf("the shares added up to %v", w.sum)
	}
}

// A relay whose list of servers stays behind a peer's asks discovery once, and again only much later; one that is behind
// for a moment, as all are while word of a change spreads, does not.
func TestListBehindIsAskedFor(t *testing.T) {
	k := New(0, Config{Name: "me", BootstrapSize: 3, ConfiguredRelays: 3}, Record{})
	asked := func(from, to time.Duration, list int64) (n int) {
		for now := from; now < to; now += 100 * time.Millisecond {
			for _, a := range k.Handle(now, LocalState{Lifecycle: Serving, EndpointListGeneration: list}, nil) {
				if _, ok := a.(RefreshEndpointList); ok {
					n++
				}
			}
		}
		return n
	}
	k.Handle(0, PeerHealth{"peer", Alive}, nil)
	k.Handle(0, StatusReceived{"peer", Status{Incarnation: 1, Seq: 1, BootstrapSize: 3, BootstrapSlot: 1, EndpointListGeneration: 5}}, nil)
	if n := asked(100*time.Millisecond, 1500*time.Millisecond, 4) + asked(1500*time.Millisecond, 4*time.Second, 5); n != 0 {
		t.Errorf("asked %d times, for a moment's lag", n)
	}
	k.Handle(4*time.Second, StatusReceived{"peer", Status{Incarnation: 1, Seq: 2, BootstrapSize: 3, BootstrapSlot: 1, EndpointListGeneration: 9}}, nil)
	if n := asked(4*time.Second, 10*time.Second, 5); n != 1 {
		t.Errorf("asked %d times in 6 s behind", n)
	}
}

// deafenOne lets a relay drain and come back, so that the others' shares shrink, and one of them hear nothing of that until all leases
// have run out.
func (w *world) deafenOne(i int) {
	clear(w.cut)
	w.feed(i, LocalState{Lifecycle: Draining, RequestRate: 10, EndpointListGeneration: 1})
	w.run(6000 + 1000*w.rng.Float64())
	w.strike = true
	w.feed(i, LocalState{Lifecycle: Serving, RequestRate: 10, EndpointListGeneration: 1})
	w.run(6000)
	w.strike = false
	for _, n := range w.nodes {
		n.deaf = false
	}
}

// partition cuts the net in two or three.
func (w *world) partition() {
	n := len(w.nodes)
	parts, of := 2+w.rng.IntN(2), make([]int, n)
	for j := range of {
		of[j] = w.rng.IntN(parts)
	}
	for a := range n {
		for b := range n {
			w.cut[[2]int{a, b}] = of[a] != of[b]
		}
	}
}

// drawn plays one schedule of faults.
func drawn(n, founders int, seed uint64, steps int, change func(*Node)) *world {
	founders = min(founders, n)
	w := newWorld(n, founders, seed)
	w.change = change
	w.play(founders, seed, steps)
	return w
}

// play plays one schedule of faults.
func (w *world) play(founders int, seed uint64, steps int) {
	n := len(w.nodes)
	w.loss, w.twice = 0.2*w.rng.Float64()*float64(seed%2), 0.1*float64(seed%3)/2
	for i := range n {
		if i < founders || w.rng.IntN(2) == 0 {
			w.start(i)
		}
		if w.rng.IntN(3) == 0 {
			w.run(200 * w.rng.Float64())
		}
	}
	for range steps {
		i := w.rng.IntN(n)
		switch x := w.nodes[i]; w.rng.IntN(12) {
		case 0:
			w.kill(i)
		case 1, 2:
			if !x.up {
				w.start(i)
			}
		case 3:
			if x.up {
				w.kill(i)
				w.run(300 * w.rng.Float64())
				w.start(i)
			}
		case 4:
			if x.up {
				x.stopped = true
			}
		case 5:
			if x.up && x.stopped {
				w.wake(i)
			}
		case 6: // a partition: each to one of two or three
			w.partition()
		case 7: // one way
			for range 1 + n/3 {
				w.cut[[2]int{i, w.rng.IntN(n)}] = true
			}
		case 8:
			clear(w.cut)
		case 9:
			if x.up && !x.stopped {
				w.feed(i, LocalState{Lifecycle: []Lifecycle{Serving, Draining, Leaving}[w.rng.IntN(3)], RequestRate: 10, EndpointListGeneration: 1})
			}
		case 10: // a relay comes to serve, and at the moment of the view that shrinks the others' shares one of them goes deaf
			if x.up && !x.stopped {
				w.deafenOne(i)
			}
		}
		if w.rng.IntN(2) == 0 {
			w.run(300 * w.rng.Float64())
		} else {
			w.run(5000 * w.rng.Float64())
		}
	}
}

// heal ends all faults and waits for agreement.
func (w *world) heal(within float64) error {
	clear(w.cut)
	w.loss, w.twice = 0, 0
	for i, n := range w.nodes {
		switch {
		case !n.up:
			w.start(i)
		case n.stopped:
			w.wake(i)
		}
		if n.k.local.Lifecycle != Serving { // who has said that it leaves goes, and comes back
			w.kill(i)
			w.start(i)
		}
	}
	for until := w.now + within; w.now < until; {
		w.run(500)
		if w.agreed() == nil {
			return nil
		}
	}
	return w.agreed()
}

// long tells whether the long schedules are asked for; docs/measurements/members.md has their command and result.
func long() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// each runs a schedule for each seed on all cores, and reports the first seeds that fail. A slice of the long schedules ends before
// the test's deadline, and says how many were played.
func each(t *testing.T, seeds int, play func(seed uint64) error) {
	deadline, ends := t.Deadline()
	var next atomic.Uint64
	var bad atomic.Int32
	var played atomic.Uint64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for bad.Load() < 3 {
				seed := next.Add(1) - 1
				if seed >= uint64(seeds) || long() && ends && time.Until(deadline) < spareTime {
					return
				}
				if err := play(seed); err != nil {
					bad.Add(1)
					t.Errorf("seed %d: %v", seed, err)
				}
				if n := played.Add(1); n%1000 == 0 {
					t.Logf("%d schedules played, %d failed", n, bad.Load())
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d schedules played, %d failed", played.Load(), seeds, bad.Load())
}

// spareTime is how long before a test's deadline no schedule is begun any more.
const spareTime = 25 * time.Second

// The promise, over drawn schedules: a few relays in many, fifty in some. After each the faults end, and all agree.
func TestSharesNeverExceedOne(t *testing.T) {
	few, fifty := 600, 12
	if long() {
		few, fifty = 100_000, 10_000
	}
	play := func(n, founders, steps int, heal float64) func(uint64) error {
		return func(seed uint64) error {
			w := drawn(n+int(seed%4), founders+int(seed%3), seed, steps, nil)
			if err := w.heal(heal); err != nil {
				return fmt.Errorf("after the heal: %w", err)
			}
			if w.sum > 1 {
				return fmt.Errorf("the shares of %d relays added up to %v", len(w.nodes), w.sum)
			}
			return nil
		}
	}
	t.Run("few", func(t *testing.T) { each(t, few, play(3, 2, 30, 25000)) })
	t.Run("fifty", func(t *testing.T) { each(t, fifty, play(50, 20, 12, 40000)) })
}

// Each protection taken out is found out by the same schedules.
func TestSharesNeedTheirProtections(t *testing.T) {
	for what, without := range map[string]func(*Node){
		"the joint view": func(k *Node) { k.safeguards.jointViews = false },
		"the wait":       func(k *Node) { k.safeguards.waitOut = 300 * time.Millisecond },
		"the grant":      func(k *Node) { k.safeguards.leaseDuration = time.Minute },
		"the grace":      func(k *Node) { k.safeguards.safetyMargin = 0 },
		"the effect":     func(k *Node) { k.safeguards.maxEffectDelay = 0 },
		"the pledge":     func(k *Node) { k.safeguards.releasesSlots = false },
	} {
		found := uint64(0)
		for seed := uint64(1); seed < 3000 && found == 0; seed++ {
			if drawn(3+int(seed%4), 2+int(seed%3), seed, 30, without).sum > 1+1e-9 {
				found = seed
			}
		}
		if found == 0 {
			t.Errorf("without %s no schedule was found in which the shares exceed one", what)
		}
		t.Logf("without %s the shares exceed one at seed %d", what, found)
	}
}

// little is a world whose every step is chosen: which packet arrives next, or that time passes.
type little struct {
	now   time.Duration
	nodes []*node
	wires []packet
}

func (l *little) clone() *little {
	c := &little{now: l.now, wires: slices.Clone(l.wires)}
	for _, n := range l.nodes {
		m := *n
		m.k = n.k.clone()
		c.nodes = append(c.nodes, &m)
	}
	return c
}

func (n *Node) clone() *Node {
	c := *n
	c.rng, c.actions = rand.New(rand.NewPCG(n.cfg.Seed, 3)), nil
	c.peers = peerTable{self: n.peers.self, byName: map[string]*Peer{}}
	c.lease.renewalSentAt = maps.Clone(n.lease.renewalSentAt)
	for name, p := range n.peers.byName {
		*c.peers.entry(name, n.now) = *p
	}
	if n.voting.proposal != nil {
		p := *n.voting.proposal
		p.promises, p.acceptances = maps.Clone(p.promises), maps.Clone(p.acceptances)
		c.voting.proposal = &p
	}
	return &c
}

func (l *little) feed(i int, ev Event) {
	n := l.nodes[i]
	for _, a := range n.k.Handle(l.now, ev, nil) {
		switch a := a.(type) {
		case Save:
			n.disk = a.Record
		case Send:
			for j, m := range l.nodes {
				if m.cfg.Name == a.To {
					l.wires = append(l.wires, packet{0, i, j, MessageReceived{From: n.cfg.Name, Message: a.Message}})
				}
			}
		case Publish:
			for j := range l.nodes {
				if j != i {
					l.wires = append(l.wires, packet{0, i, j, StatusReceived{Name: n.cfg.Name, Status: a.Status}})
				}
			}
		}
	}
}

func (l *little) sum() (sum float64) {
	for _, n := range l.nodes {
		sum += n.k.Estimate(l.now).BudgetShare
	}
	return sum
}

// explore plays every sequence of so many steps and returns how many there were and the greatest sum met.
func (l *little) explore(depth int) (played int, most float64) {
	most = l.sum()
	if depth == 0 {
		return 1, most
	}
	visit := func(step func(*little)) {
		if most > 1+1e-9 { // that is enough
			return
		}
		c := l.clone()
		step(c)
		n, sum := c.explore(depth - 1)
		played, most = played+n, max(most, sum)
	}
	met := map[string]bool{}
	for i, p := range l.wires {
		if id := fmt.Sprintf("%+v", p); !met[id] { // two packets alike make one step
			met[id] = true
			visit(func(c *little) {
				c.wires = slices.Delete(c.wires, i, i+1)
				c.feed(p.to, p.ev)
			})
		}
	}
	for _, wait := range []time.Duration{450 * time.Millisecond, WaitOut + 10*time.Millisecond} {
		visit(func(c *little) {
			c.now += wait
			for i := range c.nodes {
				c.feed(i, Tick{})
			}
		})
	}
	visit(func(c *little) { // the first is killed and back
		n := c.nodes[0]
		n.k = New(c.now, n.cfg, n.disk)
		n.k.safeguards.jointViews = c.nodes[1].k.safeguards.jointViews
		n.k.Start(c.now, nil)
		n.disk = n.k.record
		for i := range c.nodes[1:] {
			c.feed(0, PeerHealth{c.nodes[i+1].cfg.Name, Alive})
		}
	})
	return played, most
}

// small returns a world of three that have agreed, or of three that have just met.
func small(agreed, joint bool) *little {
	w := newWorld(3, 3, 5)
	for i, n := range w.nodes {
		n.rate, n.zero = 1, 0
		w.start(i)
	}
	if agreed {
		w.run(8000)
	} else {
		w.run(50)
	}
	l := &little{now: duration.FromMillis(w.now), nodes: w.nodes}
	for _, n := range l.nodes {
		n.k.safeguards.jointViews = joint
	}
	return l
}

// Every interleaving of three relays to a depth: packets in any order or never, time, a kill and a restart.
func TestEveryInterleaving(t *testing.T) {
	depth := 5
	if long() {
		depth = 6
	}
	cutOff := func(joint bool) *little { // the third is taken for gone, and its lease is good still
		l := small(true, joint)
		l.feed(0, PeerHealth{name(2), Failed})
		l.feed(1, PeerHealth{name(2), Failed})
		return l
	}
	for what, l := range map[string]*little{"founding": small(false, true), "cut off": cutOff(true), "agreed": small(true, true)} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			played, most := l.explore(depth)
			t.Logf("%d sequences of %d steps, the shares add up to %.6f at most", played, depth, most)
			if most > 1 {
				t.Errorf("the shares add up to %v", most)
			}
		})
	}
	t.Run("without the joint view", func(t *testing.T) {
		t.Parallel()
		if _, most := cutOff(false).explore(5); most <= 1+1e-9 {
			t.Error("no sequence was found in which the shares exceed one")
		}
	})
}
