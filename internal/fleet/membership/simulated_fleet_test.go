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

// simulatedFleet is a fleet in memory: Nodes on one simulated clock, each with a clock of its own that runs
// fast or slow, and a network that loses, delays, duplicates and partitions. Everything random in it follows
// from its seed.
type simulatedFleet struct {
	rng              *rand.Rand
	now              float64
	relays           []*simulatedRelay
	packets          []packet
	partitioned      map[[2]int]bool // from sender to receiver
	lossRate         float64
	maxDelay         float64 // maximum delay of a packet, in ms
	learnDelay       float64 // extra delay of a Learn message, in ms, as it is large and sent over TCP
	duplicationRate  float64
	maxSum           float64     // the greatest sum of shares seen
	disableSafeguard func(*Node) // switches one safeguard of a Node off; nil for none
	highestEpoch     uint64      // highest epoch that any relay has held
	// blockInboundNext: when the first relay adopts the next view, one relay that does not hold it stops
	// receiving.
	blockInboundNext bool
	tickLead         float64      // how long before NextTickAt a Tick may come, in ms
	trace            *trace.Trace // of all actions; nil for none
}

type simulatedRelay struct {
	node             *Node
	cfg              Config
	savedRecord      Record
	running          bool
	paused           bool
	clockRate        float64 // rate of its clock
	clockOffset      float64 // reading of its clock at the fleet's time 0, in ms
	pausedEvents     []Event // arrived while it was paused
	detectedHealth   map[int]Health
	unreachableSince map[int]float64 // by peer: since when it is not reached
	leaving          bool
	inboundBlocked   bool          // receives no packets, but counts as alive
	share            float64       // as of its last event
	shareValidUntil  time.Duration // on its clock
	allocation       *Allocation
	recentBudgetUses []budgetUse       // those that may still take effect, oldest first
	olderProgram     bool              // its program knows no cells
	joinedPlans      map[string]uint64 // by cell: the newest plan that it claims to have joined
	// continuedPlan is the newest plan that some cell claims to have joined from the previous plan.
	continuedPlan uint64
	earlierRecord *Record // a copy of savedRecord from some time ago
}

// budgetUse records that a relay used a share of a budget at a time on the fleet's clock: of its cell's
// budget by an Allocation, or of the full budget if the Allocation is nil. What the relay did by that share
// may take effect up to MaxEffectDelay later.
type budgetUse struct {
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
	sim := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 1)), partitioned: map[[2]int]bool{}, maxDelay: 20,
		tickLead: 10}
	for i := range n {
		rate := 1 + MaxClockDrift*(2*sim.rng.Float64()-1)
		if seed%2 == 0 { // each clock at one of the bounds
			rate = 1 + MaxClockDrift*float64(2*sim.rng.IntN(2)-1)
		}
		sim.relays = append(sim.relays, &simulatedRelay{cfg: Config{Name: relayName(i), BootstrapSlot: i,
			BootstrapSize:    bootstrapSize,
			ConfiguredRelays: bootstrapSize, Seed: seed + uint64(i)},
			clockRate: rate, clockOffset: 1000 * sim.rng.Float64()})
	}
	return sim
}

// clock returns the reading of the relay's clock at a time of the fleet in ms.
func (n *simulatedRelay) clock(now float64) time.Duration {
	return duration.FromMillis(n.clockOffset + now*n.clockRate)
}

func (sim *simulatedFleet) start(i int) {
	n := sim.relays[i]
	n.running, n.paused, n.leaving, n.pausedEvents, n.detectedHealth, n.unreachableSince = true, false,
		false, nil, map[int]Health{}, map[int]float64{}
	cfg := n.cfg
	if n.olderProgram {
		cfg.Plan, n.savedRecord = nil, recordWithoutAllocation(n.savedRecord)
	}
	n.node, n.joinedPlans, n.continuedPlan = New(n.clock(sim.now), cfg, n.savedRecord), nil, 0
	n.node.safeguards.checksVersions = !n.olderProgram
	if sim.disableSafeguard != nil {
		sim.disableSafeguard(n.node)
	}
	actions := n.node.Start(n.clock(sim.now), nil)
	n.updateShare(sim.now)
	sim.applyActions(i, actions)
	sim.handle(i, LocalState{Lifecycle: LifecycleServing, RequestRate: 10, EndpointListGeneration: 1})
}

func (sim *simulatedFleet) kill(i int) { sim.relays[i].running = false }

func (sim *simulatedFleet) handle(i int, ev Event) {
	n := sim.relays[i]
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
		actions := n.node.Handle(n.clock(sim.now), ev, nil)
		n.updateShare(sim.now)
		sim.updateMaxSum()
		if epoch := n.node.View().Epoch; epoch > sim.highestEpoch {
			sim.highestEpoch = epoch
			sim.blockInboundIfDue(i)
		}
		sim.applyActions(i, actions)
	}
}

// blockInboundIfDue stops all packets to one relay that holds an earlier view than the newest, if that is
// requested. The other relays still take it for alive, so only the passing of time ends its outstanding
// limit.
func (sim *simulatedFleet) blockInboundIfDue(first int) {
	if !sim.blockInboundNext || sim.highestEpoch < 2 {
		return
	}
	var behind []int
	for j, n := range sim.relays {
		if n.running && !n.paused && j != first && n.node.View().Epoch < sim.highestEpoch {
			behind = append(behind, j)
		}
	}
	if len(behind) == 0 {
		return
	}
	sim.blockInboundNext = false
	j := behind[sim.rng.IntN(len(behind))]
	sim.relays[j].inboundBlocked = true
	sim.packets = slices.DeleteFunc(sim.packets, func(p packet) bool { return p.to == j })
}

func (sim *simulatedFleet) resume(i int) {
	n := sim.relays[i]
	n.paused = false
	n.updateShare(sim.now)
	sim.updateMaxSum()
	events := n.pausedEvents
	n.pausedEvents = nil
	for _, ev := range events {
		sim.handle(i, ev)
	}
}

func (sim *simulatedFleet) applyActions(i int, actions []Action) {
	for _, a := range actions {
		traceAction(sim.trace, i, sim.relays[i].share, a)
		switch a := a.(type) {
		case SaveRecord:
			sim.relays[i].savedRecord = a.Record
		case SendMessage:
			for j, n := range sim.relays {
				if n.cfg.Name == a.To {
					sim.sendPacket(i, j, MessageReceived{From: relayName(i), Message: a.Message})
				}
			}
		case PublishStatus:
			for j := range sim.relays {
				if j != i {
					sim.sendPacket(i, j, StatusReceived{Name: relayName(i), Status: a.Status})
				}
			}
		}
	}
}

func (sim *simulatedFleet) sendPacket(from, to int, ev Event) {
	for again := true; again; again = sim.rng.Float64() < sim.duplicationRate {
		if sim.partitioned[[2]int{from, to}] || sim.relays[to].inboundBlocked ||
			sim.rng.Float64() < sim.lossRate {
			continue
		}
		delay := 1 + sim.maxDelay*sim.rng.Float64()
		if m, ok := ev.(MessageReceived); ok && m.Kind == Learn {
			delay += sim.learnDelay
		}
		if sim.duplicationRate > 0 && sim.rng.Float64() < 0.02 {
			delay += 8000 * sim.rng.Float64() // an old packet, still on its way
		}
		sim.packets = append(sim.packets, packet{sim.now + delay, from, to, ev})
	}
}

// updateMaxSum sums up the shares. Each relay uses its share at every moment, and what it does by the share
// counts for MaxEffectDelay from then on, also if the relay is paused or killed meanwhile. A share changes
// with an event, or expires.
func (sim *simulatedFleet) updateMaxSum() {
	sum := 0.0
	for _, n := range sim.relays {
		if n.running && !n.paused && n.clock(sim.now) < n.shareValidUntil {
			n.noteUse(sim.now)
		}
		sum += n.countedShare(sim.now)
	}
	if sum > sim.maxSum {
		sim.maxSum = sum
	}
}

// noteUse records a use of the share. It drops the earlier uses that can count no more than the new one:
// those by the same Allocation with an equal or lower share.
func (n *simulatedRelay) noteUse(now float64) {
	last := len(n.recentBudgetUses) - 1
	if last >= 0 && n.recentBudgetUses[last].allocation == n.allocation &&
		n.recentBudgetUses[last].share == n.share {
		n.recentBudgetUses[last].at = now
		return
	}
	n.recentBudgetUses = slices.DeleteFunc(n.recentBudgetUses, func(use budgetUse) bool {
		return use.allocation == n.allocation &&
			use.share <= n.share
	})
	n.recentBudgetUses = append(n.recentBudgetUses, budgetUse{now, n.share, n.allocation})
}

// countedShare returns the greatest share by which something may take effect now.
func (n *simulatedRelay) countedShare(now float64) (share float64) {
	n.forgetUses(now)
	for _, use := range n.recentBudgetUses {
		share = max(share, use.share)
	}
	return share
}

// countedUnitsIn returns the most that may take effect now at servers of a zone, in units of FullBudget.
func (n *simulatedRelay) countedUnitsIn(zone string) (units uint64) {
	for _, use := range n.recentBudgetUses {
		units = max(units, cellplan.MulDiv(uint64(use.share*float64(FullBudget)),
			use.allocation.budgetIn(zone), FullBudget))
	}
	return units
}

// forgetUses drops the uses by which nothing may take effect any more.
func (n *simulatedRelay) forgetUses(now float64) {
	for len(n.recentBudgetUses) > 0 && n.recentBudgetUses[0].at+duration.Millis(MaxEffectDelay) < now {
		n.recentBudgetUses = n.recentBudgetUses[1:]
	}
}

// updateShare records a relay's share after an event.
func (n *simulatedRelay) updateShare(now float64) {
	n.share, n.shareValidUntil, _ = n.node.budgetShare(n.clock(now))
	n.allocation = n.node.View().Allocation
	if n.running && !n.paused && n.clock(now) < n.shareValidUntil {
		n.noteUse(now)
	}
}

// failureTimeout, in ms, is after how long the simulated failure detector takes a relay for failed that is
// down, paused or unreachable. Each relay detects failures on its own, with a random factor, so that
// detection may be wrong or late as in the real one.
const failureTimeout = 2000.0

func (sim *simulatedFleet) detectFailures() {
	for i, n := range sim.relays {
		if !n.running || n.paused {
			continue
		}
		for j, p := range sim.relays {
			if i == j {
				continue
			}
			reached := p.running && !p.paused && !sim.partitioned[[2]int{i, j}] &&
				!sim.partitioned[[2]int{j, i}]
			known := n.detectedHealth[j]
			switch {
			case reached:
				delete(n.unreachableSince, j)
				if known != HealthAlive {
					n.detectedHealth[j] = HealthAlive
					sim.handle(i, PeerHealth{relayName(j), HealthAlive})
				}
			case known == HealthAlive:
				if n.unreachableSince[j] == 0 {
					n.unreachableSince[j] = sim.now
				}
				if sim.now >= n.unreachableSince[j]+failureTimeout*(0.5+sim.rng.Float64()) {
					n.detectedHealth[j] = HealthFailed
					sim.handle(i, PeerHealth{relayName(j), HealthFailed})
				}
			}
		}
	}
}

// run advances the time in steps of 10 ms.
func (sim *simulatedFleet) run(ms float64) {
	for until := sim.now + ms; sim.now < until; {
		sim.now += 10
		due := sim.packets[:0:0]
		remaining := sim.packets[:0]
		for _, p := range sim.packets {
			if p.at <= sim.now {
				due = append(due, p)
			} else {
				remaining = append(remaining, p)
			}
		}
		sim.packets = remaining
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
			sim.handle(p.to, p.event)
		}
		if int(sim.now)%100 == 0 {
			sim.detectFailures()
		}
		for i, n := range sim.relays {
			if n.running && !n.paused &&
				n.clock(sim.now) >= n.node.NextTickAt()-duration.FromMillis(sim.tickLead) {
				sim.handle(i, Tick{})
			}
		}
		sim.updateMaxSum()
	}
}

// checkAgreement returns an error unless all running relays hold one settled view of just them.
func (sim *simulatedFleet) checkAgreement() error {
	var reference *View
	runningCount := 0
	for _, n := range sim.relays {
		if n.running {
			runningCount++
		}
	}
	for _, n := range sim.relays {
		if !n.running {
			continue
		}
		v := n.node.View()
		if reference == nil {
			reference = v
		}
		if v.Hash() != reference.Hash() || len(v.MemberNames()) != runningCount || !v.Settled() ||
			n.node.Phase() != PhaseAgreed {
			return fmt.Errorf("relay %s: phase %s, %s, %d members, settled %v; want one settled view of %d",
				n.cfg.Name, n.node.Phase(), v.summary(), len(v.MemberNames()), v.Settled(), runningCount)
		}
	}
	return nil
}
