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

// federation is a fleet of several cells on one set clock. Each cell has its own net, as world has it;
// between cells go only claims to have joined plans, late, doubled, out of order, or lost.
type federation struct {
	rng              *rand.Rand
	now              float64
	seed             uint64
	cells            []*simulatedCell
	claims           []joinClaim
	partitioned      map[[2]string]bool // from one region to another: no claims go
	plan             *cellplan.Plan     // the newest that the operators have written
	plans            map[uint64]*cellplan.Plan
	zones            []string // of all plans so far, and one where nobody stands
	maxSum           uint64   // the greatest sum met in a zone
	maxSumZone       string   // where
	withoutSafeguard func(*Node)
	addedCells       int // cells so far, for their names
	trace            *trace.Trace
}

type simulatedCell struct {
	*simulatedFleet
	name, region string
}

// joinClaim is what a cell says of a plan that it has joined, on its way to one relay of another cell.
type joinClaim struct {
	at           float64
	from         string
	plan         uint64
	hash         uint64
	cell, to     int
	bootstrapped bool // the cell was bootstrapped by the plan
}

// eventWithoutAllocation is an event as a program from before cells reads it.
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

// addCell makes a cell of relays that don't run yet. Without a plan it is a flat fleet.
func (f *federation) addCell(name, region string, relays int, plan *cellplan.Plan) *simulatedCell {
	w := newSimulatedFleet(relays, relays, f.seed*1000+uint64(len(f.cells)))
	w.now, w.withoutSafeguard = f.now, f.withoutSafeguard
	pace := Timing{LeaseDuration: []time.Duration{LeaseDuration, CellTiming.LeaseDuration}[f.rng.IntN(2)],
		StatusInterval: CellTiming.StatusInterval}
	for _, n := range w.relays {
		n.cfg.Cell, n.cfg.Plan, n.cfg.Timing = name, plan, pace
		n.clockOffset -= f.now * n.clockRate
	}
	w.lossRate, w.duplicationRate = 0.2*f.rng.Float64()*float64(f.seed%2), 0.05*float64(f.seed%3)
	if f.trace != nil {
		w.trace = f.trace
		w.randomizeClockRates()
	}
	c := &simulatedCell{w, name, region}
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

// run lets time pass, and checks the promise every 10 ms: nothing that takes effect is forgotten sooner.
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

// sendClaims lets some relays, representatives or not, claim what they know of their own cell.
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

// claimDeliveryTime is when a claim that is sent now comes.
func (f *federation) claimDeliveryTime() float64 {
	if f.rng.IntN(20) == 0 {
		return f.now + 30_000*f.rng.Float64()
	}
	return f.now + 10 + 100*f.rng.Float64()
}

// deliverClaims brings the claims that are due, and lets relays draw their conclusion.
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

// receiveClaim lets a relay take a claim in. One for another table under the number is not counted.
func (f *federation) receiveClaim(to *simulatedCell, c joinClaim) {
	n := to.relays[c.to]
	if plan := f.plans[c.plan]; !n.running || n.paused || n.olderProgram || plan == nil || plan.Hash() != c.hash {
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

// activateIfJoined lets a relay tell its Node that every cell has joined the view's plan, if all claims
// have come.
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
	if a.Bootstrapped && n.continuedPlan < a.Plan { // nobody knows who held a part by the plan before
		return
	}
	c.handle(i, PlanActivated{Plan: a.Plan, Hash: a.PlanHash})
}

// allBootstrapped tells whether every cell has a view, as operators see it.
func (f *federation) allBootstrapped() bool {
	for _, c := range f.cells {
		if !slices.ContainsFunc(c.relays, func(n *simulatedRelay) bool { return n.savedRecord.View != nil }) {
			return false
		}
	}
	return true
}

// anyActivated tells whether the newest plan is open anywhere, as operators see it.
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

// bootstrap makes the first plan and its cells; half of the fleets are flat at first.
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

// newCells starts those that the newest plan names and that are not there yet, under that plan.
func (f *federation) newCells(relays int) {
	for _, c := range f.plan.Cells {
		if c.Relays > 0 && !slices.ContainsFunc(f.cells,
			func(w *simulatedCell) bool { return w.name == c.Name }) {
			w := f.addCell(c.Name, c.Region, relays, f.plan)
			for i := range w.relays {
				w.start(i)
			}
		}
	}
}

// heal ends all faults, gives every cell the plans that it has not joined one by one, and waits until
// the newest is open everywhere.
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
	// 2 s each; every plan waits until leases of 8 s have run out, and for claims of which a fifth is lost
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
			return fmt.Errorf("%s: %w", c.name, err)
		}
		if a := c.relays[0].node.View().Allocation; a == nil || a.Plan != f.plan.Number || !a.Activated {
			return fmt.Errorf("%s: %+v, file %d, newest %d; %s", c.name, a,
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
				fmt.Fprintf(&state, "\n%s %s up %v old %v share %.3f epoch %d %+v", c.name, n.cfg.Name, n.running,
					n.olderProgram,
					n.share, n.node.View().Epoch, n.node.View().Allocation)
			}
		}
	}
	return fmt.Errorf("in zone %s all cells took %.6f%s", f.maxSumZone, float64(f.maxSum)/float64(FullBudget),
		state.String())
}

// healAndCheck ends the faults, and tells whether the promise was kept and the newest plan is open.
func (f *federation) healAndCheck() error {
	err := f.heal()
	if exceeds := f.checkMaxSum(); exceeds != nil {
		return exceeds
	}
	if err != nil {
		return fmt.Errorf("after the heal: %w", err)
	}
	return nil
}
