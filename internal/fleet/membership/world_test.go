package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
	"capersail/internal/testing/trace"
)

// world is a fleet in memory: Nodes on one set clock, each with a clock of its own that runs fast or
// slow, and a network that loses, delays, doubles and cuts. Nothing in it is left to chance but by its
// seed.
type world struct {
	rng              *rand.Rand
	now              float64
	nodes            []*node
	packets          []packet
	partitioned      map[[2]int]bool // from, to
	loss             float64
	maxDelay         float64 // most delay of a packet
	learnDelay       float64 // how much longer a chosen view takes, in ms: it is large, and goes over TCP
	duplication      float64
	maxSum           float64     // the greatest sum of shares met
	withoutSafeguard func(*Node) // takes a protection out
	epoch            uint64      // the highest that anybody has held
	// one that does not hold the next view when the first adopts it gets nothing any more
	deafenNext bool
	tickLead   float64      // how long before Next a Tick may come, in ms
	trace      *trace.Trace // of all actions; nil for none
}

type node struct {
	subject          *Node
	cfg              Config
	disk             Record
	up               bool
	stopped          bool
	clockRate        float64 // of its clock
	clockOffset      float64 // what its clock read at the world's 0
	queue            []Event // came while it was stopped
	detected         map[int]Health
	unreachableSince map[int]float64 // since when a peer is not reached
	leaving          bool
	deaf             bool          // no packet comes to it, and it is taken for alive
	share            float64       // as of its last event
	until            time.Duration // on its clock
	allocation       *Allocation
	uses             []shareUse
	olderProgram     bool              // its program is from before cells
	joinedPlans      map[string]uint64 // by cell: the newest plan that it is said to have joined
	// the newest plan that some cell is said to have come into from the one before
	continued uint64
	copied    *Record // its disk some time ago
}

// shareUse is a use of a budget at a share of a cell's parts, or of the whole, by the world's clock. What is
// done by it may take effect up to EffectWithin later.
type shareUse struct {
	at, share  float64
	allocation *Allocation
}

type packet struct {
	at       float64
	from, to int
	ev       Event
}

func name(i int) string { return fmt.Sprintf("r%02d", i) }

func newWorld(n, bootstrapSize int, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), partitioned: map[[2]int]bool{}, maxDelay: 20,
		tickLead: 10}
	for i := range n {
		rate := 1 + MaxClockDrift*(2*w.rng.Float64()-1)
		if seed%2 == 0 { // as far apart as may be
			rate = 1 + MaxClockDrift*float64(2*w.rng.IntN(2)-1)
		}
		w.nodes = append(w.nodes, &node{cfg: Config{Name: name(i), BootstrapSlot: i,
			BootstrapSize:    bootstrapSize,
			ConfiguredRelays: bootstrapSize, Seed: seed + uint64(i)},
			clockRate: rate, clockOffset: 1000 * w.rng.Float64()})
	}
	return w
}

// clock is what its clock reads at a moment of the world, in ms.
func (n *node) clock(now float64) time.Duration {
	return duration.FromMillis(n.clockOffset + now*n.clockRate)
}

func (w *world) start(i int) {
	n := w.nodes[i]
	n.up, n.stopped, n.leaving, n.queue, n.detected, n.unreachableSince = true, false, false, nil,
		map[int]Health{},
		map[int]float64{}
	cfg := n.cfg
	if n.olderProgram {
		cfg.Plan, n.disk = nil, oldRecord(n.disk)
	}
	n.subject, n.joinedPlans, n.continued = New(n.clock(w.now), cfg, n.disk), nil, 0
	n.subject.safeguards.checksVersions = !n.olderProgram
	if w.withoutSafeguard != nil {
		w.withoutSafeguard(n.subject)
	}
	acts := n.subject.Start(n.clock(w.now), nil)
	n.updateShare(w.now)
	w.carryOut(i, acts)
	w.feed(i, LocalState{Lifecycle: LifecycleServing, RequestRate: 10, EndpointListGeneration: 1})
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
		if n.olderProgram {
			ev = withoutAllocation(ev)
		}
		acts := n.subject.Handle(n.clock(w.now), ev, nil)
		n.updateShare(w.now)
		w.check()
		if epoch := n.subject.View().Epoch; epoch > w.epoch {
			w.epoch = epoch
			w.deafen(i)
		}
		w.carryOut(i, acts)
	}
}

// deafen lets nothing come any more to one relay that holds an earlier view than the newest, if that is
// what is to happen. The others take it for alive still, so nothing but time lets its limit go.
func (w *world) deafen(first int) {
	if !w.deafenNext || w.epoch < 2 {
		return
	}
	var behind []int
	for j, n := range w.nodes {
		if n.up && !n.stopped && j != first && n.subject.View().Epoch < w.epoch {
			behind = append(behind, j)
		}
	}
	if len(behind) == 0 {
		return
	}
	w.deafenNext = false
	j := behind[w.rng.IntN(len(behind))]
	w.nodes[j].deaf = true
	w.packets = slices.DeleteFunc(w.packets, func(p packet) bool { return p.to == j })
}

func (w *world) resume(i int) {
	n := w.nodes[i]
	n.stopped = false
	n.updateShare(w.now)
	w.check()
	queue := n.queue
	n.queue = nil
	for _, ev := range queue {
		w.feed(i, ev)
	}
}

func (w *world) carryOut(i int, acts []Action) {
	for _, a := range acts {
		record(w.trace, i, w.nodes[i].share, a)
		switch a := a.(type) {
		case SaveRecord:
			w.nodes[i].disk = a.Record
		case SendMessage:
			for j, n := range w.nodes {
				if n.cfg.Name == a.To {
					w.post(i, j, MessageReceived{From: name(i), Message: a.Message})
				}
			}
		case PublishStatus:
			for j := range w.nodes {
				if j != i {
					w.post(i, j, StatusReceived{Name: name(i), Status: a.Status})
				}
			}
		}
	}
}

func (w *world) post(from, to int, ev Event) {
	for again := true; again; again = w.rng.Float64() < w.duplication {
		if w.partitioned[[2]int{from, to}] || w.nodes[to].deaf || w.rng.Float64() < w.loss {
			continue
		}
		delay := 1 + w.maxDelay*w.rng.Float64()
		if m, ok := ev.(MessageReceived); ok && m.Kind == Learn {
			delay += w.learnDelay
		}
		if w.duplication > 0 && w.rng.Float64() < 0.02 {
			delay += 8000 * w.rng.Float64() // an old packet, still under way
		}
		w.packets = append(w.packets, packet{w.now + delay, from, to, ev})
	}
}

// check is the promise: each relay reads its share at every moment, and what it does by that counts
// for EffectWithin from then on, also where it is stopped or killed meanwhile. A share changes with an
// event, or lapses.
func (w *world) check() {
	sum := 0.0
	for _, n := range w.nodes {
		if n.up && !n.stopped && n.clock(w.now) < n.until {
			n.noteUse(w.now)
		}
		sum += n.countedShare(w.now)
	}
	if sum > w.maxSum {
		w.maxSum = sum
	}
}

// noteUse takes down a use of the share. Of several only those are kept that may count most at some later
// moment: by one Allocation their shares fall.
func (n *node) noteUse(now float64) {
	last := len(n.uses) - 1
	if last >= 0 && n.uses[last].allocation == n.allocation && n.uses[last].share == n.share {
		n.uses[last].at = now
		return
	}
	n.uses = slices.DeleteFunc(n.uses, func(l shareUse) bool {
		return l.allocation == n.allocation &&
			l.share <= n.share
	})
	n.uses = append(n.uses, shareUse{now, n.share, n.allocation})
}

// countedShare is the greatest share by which something may take effect now.
func (n *node) countedShare(now float64) (share float64) {
	n.forgetUses(now)
	for _, l := range n.uses {
		share = max(share, l.share)
	}
	return share
}

// countedUnitsIn is the most that may take effect now at servers of a zone, in units of FullBudget.
func (n *node) countedUnitsIn(zone string) (units uint64) {
	for _, l := range n.uses {
		units = max(units, cellplan.MulDiv(uint64(l.share*float64(FullBudget)), l.allocation.part(zone),
			FullBudget))
	}
	return units
}

// forgetUses drops the uses by which nothing may take effect any more.
func (n *node) forgetUses(now float64) {
	for len(n.uses) > 0 && n.uses[0].at+duration.Millis(MaxEffectDelay) < now {
		n.uses = n.uses[1:]
	}
}

// updateShare takes down a node's share after an event.
func (n *node) updateShare(now float64) {
	n.share, n.until, _ = n.subject.budgetShare(n.clock(now))
	n.allocation = n.subject.View().Allocation
	if n.up && !n.stopped && n.clock(now) < n.until {
		n.noteUse(now)
	}
}

// detect stands for the failure detector: whoever is cut off both ways, down or stopped for failAfter is
// failed, by each relay's own sight. It may be wrong, and late, as the real one may.
const failAfter = 2000.0

func (w *world) detectFailures() {
	for i, n := range w.nodes {
		if !n.up || n.stopped {
			continue
		}
		for j, p := range w.nodes {
			if i == j {
				continue
			}
			reached := p.up && !p.stopped && !w.partitioned[[2]int{i, j}] && !w.partitioned[[2]int{j, i}]
			known := n.detected[j]
			switch {
			case reached:
				delete(n.unreachableSince, j)
				if known != HealthAlive {
					n.detected[j] = HealthAlive
					w.feed(i, PeerHealth{name(j), HealthAlive})
				}
			case known == HealthAlive:
				if n.unreachableSince[j] == 0 {
					n.unreachableSince[j] = w.now
				}
				if w.now >= n.unreachableSince[j]+failAfter*(0.5+w.rng.Float64()) {
					n.detected[j] = HealthFailed
					w.feed(i, PeerHealth{name(j), HealthFailed})
				}
			}
		}
	}
}

// run lets time pass.
func (w *world) run(ms float64) {
	for until := w.now + ms; w.now < until; {
		w.now += 10
		due := w.packets[:0:0]
		left := w.packets[:0]
		for _, p := range w.packets {
			if p.at <= w.now {
				due = append(due, p)
			} else {
				left = append(left, p)
			}
		}
		w.packets = left
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
			w.detectFailures()
		}
		for i, n := range w.nodes {
			if n.up && !n.stopped &&
				n.clock(w.now) >= n.subject.NextTickAt()-duration.FromMillis(w.tickLead) {
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
		v := n.subject.View()
		if ref == nil {
			ref = v
		}
		if v.Hash() != ref.Hash() || len(v.MemberNames()) != up || !v.Settled() ||
			n.subject.Phase() != PhaseAgreed {
			return fmt.Errorf("%s: %s, %s, %d members, settled %v; %d are up", n.cfg.Name, n.subject.Phase(),
				v.summary(),
				len(v.MemberNames()), v.Settled(), up)
		}
	}
	return nil
}
