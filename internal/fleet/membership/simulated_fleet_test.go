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

// simulatedFleet is a fleet in memory: Nodes on one set clock, each with a clock of its own that runs fast or
// slow, and a network that loses, delays, doubles and cuts. Nothing in it is left to chance but by its
// seed.
type simulatedFleet struct {
	rng              *rand.Rand
	now              float64
	relays           []*simulatedRelay
	packets          []packet
	partitioned      map[[2]int]bool // from, to
	lossRate         float64
	maxDelay         float64 // most delay of a packet
	learnDelay       float64 // how much longer a chosen view takes, in ms: it is large, and goes over TCP
	duplicationRate  float64
	maxSum           float64     // the greatest sum of shares met
	withoutSafeguard func(*Node) // takes a protection out
	highestEpoch     uint64      // the highest that anybody has held
	// one that does not hold the next view when the first adopts it gets nothing any more
	blockInboundNext bool
	tickLead         float64      // how long before Next a Tick may come, in ms
	trace            *trace.Trace // of all actions; nil for none
}

type simulatedRelay struct {
	node             *Node
	cfg              Config
	savedRecord      Record
	running          bool
	paused           bool
	clockRate        float64 // of its clock
	clockOffset      float64 // what its clock read at the world's 0
	pausedEvents     []Event // came while it was stopped
	detectedHealth   map[int]Health
	unreachableSince map[int]float64 // since when a peer is not reached
	leaving          bool
	inboundBlocked   bool          // no packet comes to it, and it is taken for alive
	share            float64       // as of its last event
	shareValidUntil  time.Duration // on its clock
	allocation       *Allocation
	shareUses        []shareUse
	olderProgram     bool              // its program is from before cells
	joinedPlans      map[string]uint64 // by cell: the newest plan that it is said to have joined
	// the newest plan that some cell is said to have come into from the one before
	continuedPlan uint64
	earlierRecord *Record // its disk some time ago
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
	event    Event
}

func relayName(i int) string { return fmt.Sprintf("r%02d", i) }

func newSimulatedFleet(n, bootstrapSize int, seed uint64) *simulatedFleet {
	w := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 1)), partitioned: map[[2]int]bool{}, maxDelay: 20,
		tickLead: 10}
	for i := range n {
		rate := 1 + MaxClockDrift*(2*w.rng.Float64()-1)
		if seed%2 == 0 { // as far apart as may be
			rate = 1 + MaxClockDrift*float64(2*w.rng.IntN(2)-1)
		}
		w.relays = append(w.relays, &simulatedRelay{cfg: Config{Name: relayName(i), BootstrapSlot: i,
			BootstrapSize:    bootstrapSize,
			ConfiguredRelays: bootstrapSize, Seed: seed + uint64(i)},
			clockRate: rate, clockOffset: 1000 * w.rng.Float64()})
	}
	return w
}

// clock is what its clock reads at a moment of the world, in ms.
func (n *simulatedRelay) clock(now float64) time.Duration {
	return duration.FromMillis(n.clockOffset + now*n.clockRate)
}

func (w *simulatedFleet) start(i int) {
	n := w.relays[i]
	n.running, n.paused, n.leaving, n.pausedEvents, n.detectedHealth, n.unreachableSince = true, false, false, nil,
		map[int]Health{},
		map[int]float64{}
	cfg := n.cfg
	if n.olderProgram {
		cfg.Plan, n.savedRecord = nil, recordWithoutAllocation(n.savedRecord)
	}
	n.node, n.joinedPlans, n.continuedPlan = New(n.clock(w.now), cfg, n.savedRecord), nil, 0
	n.node.safeguards.checksVersions = !n.olderProgram
	if w.withoutSafeguard != nil {
		w.withoutSafeguard(n.node)
	}
	acts := n.node.Start(n.clock(w.now), nil)
	n.updateShare(w.now)
	w.applyActions(i, acts)
	w.handle(i, LocalState{Lifecycle: LifecycleServing, RequestRate: 10, EndpointListGeneration: 1})
}

func (w *simulatedFleet) kill(i int) { w.relays[i].running = false }

func (w *simulatedFleet) handle(i int, ev Event) {
	n := w.relays[i]
	switch {
	case !n.running:
	case n.paused:
		if len(n.pausedEvents) < 1000 {
			n.pausedEvents = append(n.pausedEvents, ev)
		}
	default:
		if n.olderProgram {
			ev = eventWithoutAllocation(ev)
		}
		acts := n.node.Handle(n.clock(w.now), ev, nil)
		n.updateShare(w.now)
		w.updateMaxSum()
		if epoch := n.node.View().Epoch; epoch > w.highestEpoch {
			w.highestEpoch = epoch
			w.blockInboundIfDue(i)
		}
		w.applyActions(i, acts)
	}
}

// blockInboundIfDue lets nothing come any more to one relay that holds an earlier view than the newest, if that is
// what is to happen. The others take it for alive still, so nothing but time lets its limit go.
func (w *simulatedFleet) blockInboundIfDue(first int) {
	if !w.blockInboundNext || w.highestEpoch < 2 {
		return
	}
	var behind []int
	for j, n := range w.relays {
		if n.running && !n.paused && j != first && n.node.View().Epoch < w.highestEpoch {
			behind = append(behind, j)
		}
	}
	if len(behind) == 0 {
		return
	}
	w.blockInboundNext = false
	j := behind[w.rng.IntN(len(behind))]
	w.relays[j].inboundBlocked = true
	w.packets = slices.DeleteFunc(w.packets, func(p packet) bool { return p.to == j })
}

func (w *simulatedFleet) resume(i int) {
	n := w.relays[i]
	n.paused = false
	n.updateShare(w.now)
	w.updateMaxSum()
	queue := n.pausedEvents
	n.pausedEvents = nil
	for _, ev := range queue {
		w.handle(i, ev)
	}
}

func (w *simulatedFleet) applyActions(i int, acts []Action) {
	for _, a := range acts {
		traceAction(w.trace, i, w.relays[i].share, a)
		switch a := a.(type) {
		case SaveRecord:
			w.relays[i].savedRecord = a.Record
		case SendMessage:
			for j, n := range w.relays {
				if n.cfg.Name == a.To {
					w.sendPacket(i, j, MessageReceived{From: relayName(i), Message: a.Message})
				}
			}
		case PublishStatus:
			for j := range w.relays {
				if j != i {
					w.sendPacket(i, j, StatusReceived{Name: relayName(i), Status: a.Status})
				}
			}
		}
	}
}

func (w *simulatedFleet) sendPacket(from, to int, ev Event) {
	for again := true; again; again = w.rng.Float64() < w.duplicationRate {
		if w.partitioned[[2]int{from, to}] || w.relays[to].inboundBlocked || w.rng.Float64() < w.lossRate {
			continue
		}
		delay := 1 + w.maxDelay*w.rng.Float64()
		if m, ok := ev.(MessageReceived); ok && m.Kind == Learn {
			delay += w.learnDelay
		}
		if w.duplicationRate > 0 && w.rng.Float64() < 0.02 {
			delay += 8000 * w.rng.Float64() // an old packet, still under way
		}
		w.packets = append(w.packets, packet{w.now + delay, from, to, ev})
	}
}

// updateMaxSum is the promise: each relay reads its share at every moment, and what it does by that counts
// for EffectWithin from then on, also where it is stopped or killed meanwhile. A share changes with an
// event, or lapses.
func (w *simulatedFleet) updateMaxSum() {
	sum := 0.0
	for _, n := range w.relays {
		if n.running && !n.paused && n.clock(w.now) < n.shareValidUntil {
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
func (n *simulatedRelay) noteUse(now float64) {
	last := len(n.shareUses) - 1
	if last >= 0 && n.shareUses[last].allocation == n.allocation && n.shareUses[last].share == n.share {
		n.shareUses[last].at = now
		return
	}
	n.shareUses = slices.DeleteFunc(n.shareUses, func(l shareUse) bool {
		return l.allocation == n.allocation &&
			l.share <= n.share
	})
	n.shareUses = append(n.shareUses, shareUse{now, n.share, n.allocation})
}

// countedShare is the greatest share by which something may take effect now.
func (n *simulatedRelay) countedShare(now float64) (share float64) {
	n.forgetUses(now)
	for _, l := range n.shareUses {
		share = max(share, l.share)
	}
	return share
}

// countedUnitsIn is the most that may take effect now at servers of a zone, in units of FullBudget.
func (n *simulatedRelay) countedUnitsIn(zone string) (units uint64) {
	for _, l := range n.shareUses {
		units = max(units, cellplan.MulDiv(uint64(l.share*float64(FullBudget)), l.allocation.budgetIn(zone),
			FullBudget))
	}
	return units
}

// forgetUses drops the uses by which nothing may take effect any more.
func (n *simulatedRelay) forgetUses(now float64) {
	for len(n.shareUses) > 0 && n.shareUses[0].at+duration.Millis(MaxEffectDelay) < now {
		n.shareUses = n.shareUses[1:]
	}
}

// updateShare takes down a node's share after an event.
func (n *simulatedRelay) updateShare(now float64) {
	n.share, n.shareValidUntil, _ = n.node.budgetShare(n.clock(now))
	n.allocation = n.node.View().Allocation
	if n.running && !n.paused && n.clock(now) < n.shareValidUntil {
		n.noteUse(now)
	}
}

// detect stands for the failure detector: whoever is cut off both ways, down or stopped for failureTimeout is
// failed, by each relay's own sight. It may be wrong, and late, as the real one may.
const failureTimeout = 2000.0

func (w *simulatedFleet) detectFailures() {
	for i, n := range w.relays {
		if !n.running || n.paused {
			continue
		}
		for j, p := range w.relays {
			if i == j {
				continue
			}
			reached := p.running && !p.paused && !w.partitioned[[2]int{i, j}] && !w.partitioned[[2]int{j, i}]
			known := n.detectedHealth[j]
			switch {
			case reached:
				delete(n.unreachableSince, j)
				if known != HealthAlive {
					n.detectedHealth[j] = HealthAlive
					w.handle(i, PeerHealth{relayName(j), HealthAlive})
				}
			case known == HealthAlive:
				if n.unreachableSince[j] == 0 {
					n.unreachableSince[j] = w.now
				}
				if w.now >= n.unreachableSince[j]+failureTimeout*(0.5+w.rng.Float64()) {
					n.detectedHealth[j] = HealthFailed
					w.handle(i, PeerHealth{relayName(j), HealthFailed})
				}
			}
		}
	}
}

// run lets time pass.
func (w *simulatedFleet) run(ms float64) {
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
			w.handle(p.to, p.event)
		}
		if int(w.now)%100 == 0 {
			w.detectFailures()
		}
		for i, n := range w.relays {
			if n.running && !n.paused &&
				n.clock(w.now) >= n.node.NextTickAt()-duration.FromMillis(w.tickLead) {
				w.handle(i, Tick{})
			}
		}
		w.updateMaxSum()
	}
}

// checkAgreement tells whether all that are up hold one view of just them, settled.
func (w *simulatedFleet) checkAgreement() error {
	var ref *View
	up := 0
	for _, n := range w.relays {
		if n.running {
			up++
		}
	}
	for _, n := range w.relays {
		if !n.running {
			continue
		}
		v := n.node.View()
		if ref == nil {
			ref = v
		}
		if v.Hash() != ref.Hash() || len(v.MemberNames()) != up || !v.Settled() ||
			n.node.Phase() != PhaseAgreed {
			return fmt.Errorf("%s: %s, %s, %d members, settled %v; %d are up", n.cfg.Name, n.node.Phase(),
				v.summary(),
				len(v.MemberNames()), v.Settled(), up)
		}
	}
	return nil
}
