package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/testing/trace"
)

// federation is a fleet of several cells on one simulated clock. Each cell has its own network, as in
// simulatedFleet. Between cells only claims to have joined plans are sent. They may arrive late, twice, out
// of order, or not at all.
type federation struct {
	rng              *rand.Rand
	now              float64
	seed             uint64
	cells            []*simulatedCell
	claims           []joinClaim
	partitioned      map[[2]string]bool // no claims get from the first region to the second
	plan             *cellplan.Plan     // the newest that the operators have written
	plans            map[uint64]*cellplan.Plan
	zones            []string    // of all plans so far, and one that no cell is in
	maxSum           uint64      // the greatest sum seen in any zone, in units of FullBudget
	maxSumZone       string      // the zone with the greatest sum
	disableSafeguard func(*Node) // switches one safeguard of a Node off; nil for none
	addedCells       int         // by splits so far, for the names of the new cells
	trace            *trace.Trace
}

type simulatedCell struct {
	*simulatedFleet
	name, region string
}

// joinClaim is a cell's claim to have joined a plan, on its way to one relay of another cell.
type joinClaim struct {
	at           float64
	from         string
	plan         uint64
	hash         uint64
	cell, to     int
	bootstrapped bool // the cell was bootstrapped by the plan
}

// eventWithoutAllocation returns an event as a program that knows no cells reads it.
func eventWithoutAllocation(ev Event) Event {
	if m, ok := ev.(MessageReceived); ok && m.View != nil {
		m.View = viewWithoutAllocation(m.View)
		return m
	}
	return ev
}

func viewWithoutAllocation(v *View) *View {
	if v == nil {
		return nil
	}
	without := *v
	without.Allocation = nil
	return &without
}

func recordWithoutAllocation(r Record) Record {
	r.View, r.AcceptedView = viewWithoutAllocation(r.View), viewWithoutAllocation(r.AcceptedView)
	return r
}

// addCell adds a cell of relays that are not running yet. Without a plan it is a flat fleet.
func (f *federation) addCell(name, region string, relays int, plan *cellplan.Plan) *simulatedCell {
	sim := newSimulatedFleet(relays, relays, f.seed*1000+uint64(len(f.cells)))
	sim.now, sim.disableSafeguard = f.now, f.disableSafeguard
	timing := Timing{LeaseDuration: []time.Duration{LeaseDuration, CellTiming.LeaseDuration}[f.rng.IntN(2)],
		StatusInterval: CellTiming.StatusInterval}
	for _, n := range sim.relays {
		n.cfg.Cell, n.cfg.Plan, n.cfg.Timing = name, plan, timing
		n.clockOffset -= f.now * n.clockRate
	}
	sim.lossRate, sim.duplicationRate = 0.2*f.rng.Float64()*float64(f.seed%2), 0.05*float64(f.seed%3)
	if f.trace != nil {
		sim.trace = f.trace
		sim.randomizeClockRates()
	}
	c := &simulatedCell{sim, name, region}
	f.cells = append(f.cells, c)
	return c
}

// publishPlan makes a plan the newest.
func (f *federation) publishPlan(plan cellplan.Plan) {
	if err := plan.Check(); err != nil {
		panic(err)
	}
	f.plan = &plan
	f.plans[plan.Number] = f.plan
	for _, c := range plan.Cells {
		if c.Zone != "" && !slices.Contains(f.zones, c.Zone) {
			f.zones = append(f.zones, c.Zone)
		}
	}
}

// run advances the time, and sums up the shares every 10 ms. No use of a share can be missed, as each counts
// for longer than that.
func (f *federation) run(ms float64) {
	for until := f.now + ms; f.now < until; {
		f.now += 10
		for _, c := range f.cells {
			c.run(f.now - c.now)
		}
		f.deliverClaims()
		if int(f.now)%500 == 0 {
			f.sendClaims()
		}
		f.updateMaxSum()
	}
}

func (f *federation) updateMaxSum() {
	for _, zone := range f.zones {
		sum := uint64(0)
		for _, c := range f.cells {
			for _, n := range c.relays {
				sum += n.countedUnitsIn(zone)
			}
		}
		if sum > f.maxSum {
			f.maxSum, f.maxSumZone = sum, zone
		}
	}
}

// sendClaims lets some relays, representatives or not, send what they know of the plan that their own cell
// has joined.
func (f *federation) sendClaims() {
	for _, c := range f.cells {
		for i, n := range c.relays {
			if !n.running || n.paused || f.rng.IntN(3) > 0 {
				continue
			}
			f.activateIfJoined(c, i)
			plan, a := n.node.JoinedPlan(), n.node.View().Allocation
			if plan == 0 || a == nil || a.Plan != plan {
				continue
			}
			for to, other := range f.cells {
				if other != c {
					f.claims = append(f.claims, joinClaim{f.claimDeliveryTime(), c.name, plan, a.PlanHash, to,
						f.rng.IntN(len(other.relays)), a.Bootstrapped})
				}
			}
		}
	}
}

// claimDeliveryTime returns when a claim that is sent now arrives.
func (f *federation) claimDeliveryTime() float64 {
	if f.rng.IntN(20) == 0 {
		return f.now + 30_000*f.rng.Float64()
	}
	return f.now + 10 + 100*f.rng.Float64()
}

// deliverClaims delivers the claims that are due to their relays.
func (f *federation) deliverClaims() {
	kept := f.claims[:0]
	for _, c := range f.claims {
		if c.at > f.now {
			kept = append(kept, c)
			continue
		}
		to := f.cells[c.cell]
		if f.partitioned[[2]string{f.regionOf(c.from), to.region}] || f.rng.Float64() < 0.2 {
			continue
		}
		if f.rng.IntN(10) == 0 {
			again := c
			again.at = f.claimDeliveryTime()
			kept = append(kept, again)
		}
		f.receiveClaim(to, c)
	}
	f.claims = kept
}

func (f *federation) regionOf(cell string) string {
	for _, c := range f.cells {
		if c.name == cell {
			return c.region
		}
	}
	return ""
}

// receiveClaim records a claim at a relay. A claim for a plan of the same number with other content is
// ignored.
func (f *federation) receiveClaim(to *simulatedCell, c joinClaim) {
	n := to.relays[c.to]
	if plan := f.plans[c.plan]; !n.running || n.paused || n.olderProgram ||
		plan == nil || plan.Hash() != c.hash {
		return
	}
	if n.joinedPlans == nil {
		n.joinedPlans = map[string]uint64{}
	}
	n.joinedPlans[c.from] = max(n.joinedPlans[c.from], c.plan)
	if !c.bootstrapped {
		n.continuedPlan = max(n.continuedPlan, c.plan)
	}
	f.activateIfJoined(to, c.to)
}

// activateIfJoined sends a relay's Node a PlanActivated event if claims of all other cells of the view's plan
// have arrived.
func (f *federation) activateIfJoined(c *simulatedCell, i int) {
	n := c.relays[i]
	a := n.node.View().Allocation
	if n.olderProgram || a == nil || a.Activated || n.node.JoinedPlan() < a.Plan {
		return
	}
	for _, cell := range a.Cells {
		if cell != c.name && n.joinedPlans[cell] < a.Plan {
			return
		}
	}
	if a.Bootstrapped && n.continuedPlan < a.Plan { // the cells of the previous plan are not known
		return
	}
	c.handle(i, PlanActivated{Plan: a.Plan, Hash: a.PlanHash})
}

// allBootstrapped reports whether every cell has a view, as operators see it.
func (f *federation) allBootstrapped() bool {
	for _, c := range f.cells {
		if !slices.ContainsFunc(c.relays, func(n *simulatedRelay) bool { return n.savedRecord.View != nil }) {
			return false
		}
	}
	return true
}

// anyActivated reports whether the newest plan is activated in any cell, as operators see it.
func (f *federation) anyActivated() bool {
	for _, c := range f.cells {
		for _, n := range c.relays {
			if a := n.savedRecord.View; a != nil && a.Allocation != nil && a.Allocation.Activated &&
				a.Allocation.Plan >= f.plan.Number {
				return true
			}
		}
	}
	return false
}

// bootstrap publishes the first plan and starts its cells. With flat set, a flat fleet runs first and the
// plan divides it.
func (f *federation) bootstrap(regions, zones, relays int, flat bool) {
	plan := cellplan.Plan{Number: 1, HomeShare: 0.9}
	if flat {
		f.addCell("flat", "", relays+2, nil)
		plan.Number = 2
		plan.Cells = append(plan.Cells, cellplan.Cell{Name: "flat", Relays: relays,
			Contacts: []string{"127.0.0.1:1"}})
	}
	for z := range zones {
		region := []string{"east", "west", "north", "south", "mid"}[z%regions]
		name := fmt.Sprintf("%s-%d", region, z)
		plan.Cells = append(plan.Cells, cellplan.Cell{Name: name, Region: region, Zone: name,
			Relays: 1 + f.rng.IntN(8), Contacts: []string{"127.0.0.1:1"}})
	}
	f.publishPlan(plan)
	if !flat {
		for _, c := range plan.Cells {
			f.addCell(c.Name, c.Region, relays, f.plan)
		}
	}
	if flat {
		f.newCells(relays)
	}
	for _, c := range f.cells {
		for i, n := range c.relays {
			if !n.running {
				n.olderProgram = c.name == "flat" && f.rng.IntN(6) == 0
				c.start(i)
			}
		}
	}
}

// newCells starts the cells that the newest plan names and that do not run yet.
func (f *federation) newCells(relays int) {
	for _, c := range f.plan.Cells {
		if c.Relays > 0 && !slices.ContainsFunc(f.cells,
			func(sim *simulatedCell) bool { return sim.name == c.Name }) {
			sim := f.addCell(c.Name, c.Region, relays, f.plan)
			for i := range sim.relays {
				sim.start(i)
			}
		}
	}
}

// heal ends all faults, gives every cell the plans that it has not joined one by one, and waits until the
// newest is activated everywhere.
func (f *federation) heal() error {
	clear(f.partitioned)
	for _, c := range f.cells {
		clear(c.partitioned)
		c.lossRate, c.duplicationRate = 0, 0
		for i, n := range c.relays {
			n.inboundBlocked = false
			if n.paused {
				c.resume(i)
			}
			if !n.running || n.olderProgram || n.node.localState.Lifecycle != LifecycleServing {
				c.kill(i)
				n.olderProgram = false
				c.start(i)
			}
		}
	}
	f.newCells(3)
	var err error
	// Each round takes 2 s. Every plan waits until leases of 8 s have expired, and for claims of which a
	// fifth is lost.
	for range 30 + 15*len(f.plans) {
		for _, c := range f.cells {
			for i, n := range c.relays {
				next := f.plans[n.node.View().Allocation.successorPlan()]
				if a := n.node.View().Allocation; a != nil && !a.Activated {
					next = f.plans[a.Plan]
				}
				if next == nil {
					next = f.plan
				}
				if _, named := next.FindCell(c.name); named && next != n.node.plans.filePlan {
					n.cfg.Plan = next
					c.handle(i, PlanChanged{Plan: next})
				}
			}
		}
		f.run(2000)
		if err = f.checkAllActivated(); err == nil {
			return nil
		}
	}
	return err
}

func (f *federation) checkAllActivated() error {
	for _, c := range f.cells {
		if cell, named := f.plan.FindCell(c.name); !named || cell.Relays == 0 {
			continue
		}
		if err := c.checkAgreement(); err != nil {
			return fmt.Errorf("cell %s: %w", c.name, err)
		}
		if a := c.relays[0].node.View().Allocation; a == nil || a.Plan != f.plan.Number || !a.Activated {
			return fmt.Errorf("cell %s: got %+v, plan %d in its file, want plan %d activated; pending: %s",
				c.name, a,
				c.relays[0].node.plans.filePlan.Number,
				f.plan.Number, c.relays[0].node.PlanPending())
		}
	}
	return nil
}

func (f *federation) checkMaxSum() error {
	if f.maxSum <= FullBudget {
		return nil
	}
	var state strings.Builder
	for _, c := range f.cells {
		for _, n := range c.relays {
			if n.node != nil {
				fmt.Fprintf(&state, "\ncell %s relay %s: running %v, older %v, share %.3f, epoch %d, %+v",
					c.name, n.cfg.Name, n.running, n.olderProgram,
					n.share, n.node.View().Epoch, n.node.View().Allocation)
			}
		}
	}
	return fmt.Errorf("in zone %s all cells took %.6f of the budget, want at most 1; relays:%s",
		f.maxSumZone, float64(f.maxSum)/float64(FullBudget),
		state.String())
}

// healAndCheck ends the faults, and returns an error if the sum of shares exceeded the full budget or the
// newest plan is not activated everywhere.
func (f *federation) healAndCheck() error {
	err := f.heal()
	if exceeds := f.checkMaxSum(); exceeds != nil {
		return exceeds
	}
	if err != nil {
		return fmt.Errorf("after all faults have ended: %w", err)
	}
	return nil
}
