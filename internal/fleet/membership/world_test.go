package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// world is a fleet in memory: Nodes on one set clock, each with a clock of its own that runs fast or
// slow, and a network that loses, delays, doubles and cuts. Nothing in it is left to chance but by its
// seed.
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

// look is a look at a share of a cell's parts, or of the whole, by the world's clock. What is done by it
// may take effect up to EffectWithin later.
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
		w.nodes = append(w.nodes, &node{cfg: Config{Name: name(i), BootstrapSlot: i, BootstrapSize: founders,
			ConfiguredRelays: founders, Seed: seed + uint64(i)},
			rate: rate, zero: 1000 * w.rng.Float64()})
	}
	return w
}

// clock is what its clock reads at a moment of the world, in ms.
func (n *node) clock(now float64) time.Duration { return duration.FromMillis(n.zero + now*n.rate) }

func (w *world) start(i int) {
	n := w.nodes[i]
	n.up, n.stopped, n.leaving, n.queue, n.words, n.lost = true, false, false, nil, map[int]Health{},
		map[int]float64{}
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

// deafen lets nothing come any more to one relay that holds an earlier view than the newest, if that is
// what is to happen. The others take it for alive still, so nothing but time lets its limit go.
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

// check is the promise: each relay looks at its share at every moment, and what it does by a look counts
// for EffectWithin from then on, also where it is stopped or killed meanwhile. A share changes with an
// event, or lapses.
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

// looked takes down a look. Of several only those are kept that may count most at some later moment: by
// one Allocation their shares fall.
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
		units = max(units, cellplan.Portion(uint64(l.share*float64(Whole)), l.parts.part(zone), Whole))
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

// detect stands for the failure detector: whoever is cut off both ways, down or stopped for failAfter is
// failed, by each relay's own sight. It may be wrong, and late, as the real one may.
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
			return fmt.Errorf("%s: %s, %s, %d members, settled %v; %d are up", n.cfg.Name, n.k.Phase(), v.summary(),
				len(v.MemberNames()), v.Settled(), up)
		}
	}
	return nil
}
