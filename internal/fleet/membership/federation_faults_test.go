package membership

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// randomNextPlan returns a plan that may follow the newest: cells merge, a cell splits, the relays per cell
// and the home share change.
func (f *federation) randomNextPlan() cellplan.Plan {
	next := cellplan.Plan{Number: f.plan.Number + 1, HomeShare: 0.5 + 0.5*f.rng.Float64()}
	live := []int{}
	for _, c := range f.plan.Cells {
		if c.Relays == 0 {
			// Until the newest plan is activated somewhere, this cell stays in the plan with no relays: a
			// cell that is bootstrapped by the next plan could not know of it.
			if !f.anyActivated() {
				next.Cells = append(next.Cells, c)
			}
			continue
		}
		c.Relays = 1 + f.rng.IntN(8)
		live = append(live, len(next.Cells))
		next.Cells = append(next.Cells, c)
	}
	i := live[f.rng.IntN(len(live))]
	switch f.rng.IntN(3) {
	case 0: // two cells merge
		if j := live[f.rng.IntN(len(live))]; j != i {
			next.Cells[i].Relays, next.Cells[j].Relays = next.Cells[i].Relays+next.Cells[j].Relays, 0
		}
	case 1: // a cell splits
		if len(f.cells) < 6 || len(f.cells) < len(live)+2 {
			newCell := next.Cells[i]
			f.addedCells++
			newCell.Name = fmt.Sprintf("c%d", f.addedCells)
			if newCell.Region == "" {
				newCell.Region, newCell.Zone = "east", "east-0"
			}
			newCell.Contacts = []string{"127.0.0.1:1"}
			next.Cells = append(next.Cells, newCell)
		}
	}
	return next
}

// playCells plays one random schedule of faults and plans. disableSafeguard switches one safeguard off on
// each Node; nil for none.
func playCells(regions, zones, relays int, flat bool, seed uint64, steps int,
	disableSafeguard func(*Node)) *federation {
	f := newFederation(seed, disableSafeguard)
	f.bootstrapAndInjectFaults(regions, zones, relays, flat, steps)
	return f
}

func newFederation(seed uint64, disableSafeguard func(*Node)) *federation {
	return &federation{rng: rand.New(rand.NewPCG(seed, 7)), seed: seed, partitioned: map[[2]string]bool{},
		plans: map[uint64]*cellplan.Plan{},
		zones: []string{"nobody's"}, disableSafeguard: disableSafeguard}
}

func (f *federation) bootstrapAndInjectFaults(regions, zones, relays int, flat bool, steps int) {
	f.bootstrap(regions, zones, relays, flat)
	f.run(6000 * f.rng.Float64())
	for range steps {
		f.injectFault(f.cells[f.rng.IntN(len(f.cells))], relays)
		if f.rng.IntN(2) == 0 {
			f.run(300 * f.rng.Float64())
		} else {
			f.run(6000 * f.rng.Float64())
		}
	}
}

// injectFault is one step of a schedule.
func (f *federation) injectFault(c *simulatedCell, relays int) {
	i := f.rng.IntN(len(c.relays))
	switch x := f.rng.IntN(16); {
	case x < 2: // the operators write a plan, and some relays get it at once
		// A cell whose first view is by plan 2 waits for a cell that has joined it from plan 1, so every cell
		// must have a view first.
		if f.plan.Number == 1 && !f.allBootstrapped() {
			return
		}
		f.publishPlan(f.randomNextPlan())
		f.distributePlan(0.5)
		f.newCells(relays)
	case x < 6: // more relays get the newest plan
		f.distributePlan(0.7)
		f.newCells(relays)
	case x < 11:
		f.injectRelayFault(c, i, x-6)
	case x == 11: // a relay does not receive the next view
		f.drainAndBlockInbound(c, i)
	default:
		f.injectNetworkFault(c, x-12)
	}
}

// drainAndBlockInbound drains a relay and lets it serve again, so that the shares of the other relays in its
// cell shrink. One of these gets no packets from the new view on until all leases have expired.
func (f *federation) drainAndBlockInbound(c *simulatedCell, i int) {
	c.handle(i, LocalState{Lifecycle: LifecycleDraining, RequestRate: 10, EndpointListGeneration: 1})
	f.run(duration.Millis(EarlierViewsExpireAfter) + 5000*f.rng.Float64())
	c.blockInboundNext = true
	c.handle(i, LocalState{Lifecycle: LifecycleServing, RequestRate: 10, EndpointListGeneration: 1})
	f.run(2 * duration.Millis(EarlierViewsExpireAfter))
	c.blockInboundNext = false
	for _, n := range c.relays {
		n.inboundBlocked = false
	}
}

func (f *federation) injectRelayFault(c *simulatedCell, i, kind int) {
	n := c.relays[i]
	switch kind {
	case 0:
		c.kill(i)
	case 1, 2: // a restart with the same program, an older one or the newest
		c.kill(i)
		n.olderProgram = f.rng.IntN(3) == 0 && c.mayRunOlderProgram(i)
		c.start(i)
	case 3: // a relay that does not vote restarts with an old record
		if old, ok := c.staleRecord(i); ok {
			c.kill(i)
			n.savedRecord = old
			c.start(i)
		}
	case 4:
		if n.running {
			n.paused = true
		}
	}
}

func (f *federation) injectNetworkFault(c *simulatedCell, kind int) {
	switch kind {
	case 0: // paused relays resume
		for j, n := range c.relays {
			if n.running && n.paused {
				c.resume(j)
			}
		}
	case 1: // a cell's network is split in two
		side := make([]bool, len(c.relays))
		for j := range side {
			side[j] = f.rng.IntN(2) == 0
		}
		for a := range side {
			for b := range side {
				c.partitioned[[2]int{a, b}] = side[a] != side[b]
			}
		}
	case 2: // a region loses its inbound or outbound claims, or both
		direction := f.rng.IntN(3)
		for _, other := range f.cells {
			if other.region != c.region {
				f.partitioned[[2]string{c.region, other.region}] = direction != 0
				f.partitioned[[2]string{other.region, c.region}] = direction != 1
			}
		}
	case 3: // all partitions end
		clear(f.partitioned)
		for _, c := range f.cells {
			clear(c.partitioned)
			for _, n := range c.relays {
				n.inboundBlocked = false
			}
		}
	}
}

// mayRunOlderProgram reports whether a relay may restart with a program that knows no cells: it is of a flat
// fleet that holds no plan yet, and most of the fleet's relays run the newest program. docs/design/cells.md
// says what is not guaranteed if more relays go back.
func (c *simulatedCell) mayRunOlderProgram(i int) bool {
	newest := 0
	for j, n := range c.relays {
		if v := n.savedRecord.View; v == nil || v.Allocation != nil || n.savedRecord.AcceptedView != nil &&
			n.savedRecord.AcceptedView.Allocation != nil {
			return false
		}
		if n.running && !n.olderProgram && j != i && !n.paused {
			newest++
		}
	}
	return newest >= 3
}

// staleRecord returns an earlier record of a relay, if the relay has voted on nothing since it was stored. A
// copy of each relay's record is taken now and then.
func (c *simulatedCell) staleRecord(i int) (Record, bool) {
	n := c.relays[i]
	if n.earlierRecord == nil || votesInAnyView(c.relays, n.cfg.Name) {
		copied := n.savedRecord
		n.earlierRecord = &copied
		return Record{}, false
	}
	return *n.earlierRecord, true
}

// votesInAnyView reports whether a relay is a voter of a view that any relay holds or has accepted.
func votesInAnyView(nodes []*simulatedRelay, name string) bool {
	for _, n := range nodes {
		for _, v := range []*View{n.savedRecord.View, n.savedRecord.AcceptedView} {
			if v == nil || slices.Contains(v.Voters, name) {
				return true
			}
		}
	}
	return false
}

// distributePlan gives the newest plan to some of the relays.
func (f *federation) distributePlan(part float64) {
	for _, c := range f.cells {
		if _, named := f.plan.FindCell(c.name); !named {
			continue
		}
		for i, n := range c.relays {
			if f.rng.Float64() < part {
				n.cfg.Plan = f.plan
				if !n.olderProgram {
					c.handle(i, PlanChanged{Plan: f.plan})
				}
			}
		}
	}
}

// seeds returns the first seed and the number of seeds to play: CAPERSAIL_SEEDS=from-to selects a range of
// the long schedules.
func seeds(t *testing.T, usual int) (from uint64, count int) {
	text := os.Getenv("CAPERSAIL_SEEDS")
	if text == "" {
		return 0, usual
	}
	var to uint64
	if _, err := fmt.Sscanf(text, "%d-%d", &from, &to); err != nil || to < from {
		t.Fatalf("CAPERSAIL_SEEDS is %q, want two numbers as in 0-100", text)
	}
	return from, int(to - from)
}

// playFewCells plays a schedule with two to four cells of three or four relays.
func playFewCells(seed uint64, disableSafeguard func(*Node)) *federation {
	regions := 1 + int(seed%2)
	return playCells(regions, regions*(1+int(seed/2%2)), 3+int(seed/4%2), seed%3 == 0, seed, 24,
		disableSafeguard)
}

// playManyCells plays a schedule with 17 cells in five regions.
func playManyCells(seed uint64) *federation { return playCells(5, 17, 3, seed%3 == 0, seed, 24, nil) }
