package membership

import (
	"math"
	"testing"

	"capersail/internal/fleet/cellplan"
)

// planOfTwoCells returns a plan of two regions with one cell each.
func planOfTwoCells(number uint64, east, west int) *cellplan.Plan {
	return &cellplan.Plan{Number: number, HomeShare: 0.9, Cells: []cellplan.Cell{
		{Name: "east", Region: "east", Zone: "east-1", Relays: east, Contacts: []string{"127.0.0.1:1"}},
		{Name: "west", Region: "west", Zone: "west-1", Relays: west, Contacts: []string{"127.0.0.1:2"}}}}
}

// A received view with an Allocation out of bounds must be rejected, as the relay would act by it without
// further checks.
func TestCheckRejectsImpossibleAllocations(t *testing.T) {
	many := make([]string, maxCells+1)
	for name, c := range map[string]struct {
		change func(a *Allocation)
		good   bool
	}{
		"left unchanged":        {func(*Allocation) {}, true},
		"no plan":               {func(a *Allocation) { a.Plan = 0 }, false},
		"near less than far":    {func(a *Allocation) { a.NearBudget, a.FarBudget = 1, 2 }, false},
		"over the full budget":  {func(a *Allocation) { a.NearBudget = FullBudget + 1 }, false},
		"zones out of order":    {func(a *Allocation) { a.NearZones = []string{"b", "a"} }, false},
		"a zone twice":          {func(a *Allocation) { a.NearZones = []string{"a", "a"} }, false},
		"a cell with no name":   {func(a *Allocation) { a.Cells = []string{""} }, false},
		"too many cells":        {func(a *Allocation) { a.Cells = many }, false},
		"a lease of 10 minutes": {func(a *Allocation) { a.LeaseMillis = 600_000 }, false},
		"a lease of 1 ms":       {func(a *Allocation) { a.LeaseMillis = 1 }, false},
		"a lease of 8 s":        {func(a *Allocation) { a.LeaseMillis = 8000 }, true},
	} {
		view := flatView()
		view.UnreleasedSlots = nil
		view.Allocation = bootstrapAllocation(planOfTwoCells(1, 3, 3), "east", 0)
		c.change(view.Allocation)
		if err := view.Check(); (err == nil) != c.good {
			t.Errorf("%s: got the error %v, want one only for an invalid allocation", name, err)
		}
	}
	view := flatView()
	view.Allocation = bootstrapAllocation(planOfTwoCells(1, 3, 3), "east", 0)
	if view.Check() == nil {
		t.Error("a view with an Allocation and unreleased slots passed Check, want an error")
	}
}

// A cell joins a plan with the lesser of its budgets by the old and the new plan, and treats only those zones
// as near that are near in both. Activation gives it the budgets of the new plan.
func TestJoinTakesTheLesserParts(t *testing.T) {
	before, after := planOfTwoCells(2, 3, 1), planOfTwoCells(3, 1, 3)
	held := (&Allocation{Plan: 1, LeaseMillis: 8000}).afterActivation(before, "east")
	held.Plan = before.Number
	joined := held.afterJoining(after, "east")
	near, far, _ := after.BudgetShares("east")
	if joined.Activated || joined.Plan != 3 || joined.NearBudget != min(near, held.NearBudget) ||
		joined.FarBudget != min(far, held.FarBudget) || joined.LeaseMillis != 8000 {
		t.Errorf("joined plan 3 with %+v while holding %+v, want the lesser budgets of both plans",
			joined, held)
	}
	if activated := joined.afterActivation(after, "east"); !activated.Activated ||
		activated.NearBudget != near || activated.FarBudget != far || len(activated.Cells) != 2 {
		t.Errorf("activated plan 3 with %+v, want its own budgets and both cells", activated)
	}
	if flat := (*Allocation)(nil).afterJoining(planOfTwoCells(2, 3, 1), "east"); flat.Plan != 2 ||
		flat.NearBudget >= FullBudget ||
		flat.Activated {
		t.Errorf("a flat fleet joined with %+v, want plan 2, not activated, and less than the full budget",
			flat)
	}
	if first := bootstrapAllocation(planOfTwoCells(2, 3, 1), "east", 0); first.Activated ||
		first.NearBudget > 0 || first.FarBudget > 0 {
		t.Errorf("a cell bootstrapped by plan 2 holds %+v, want no budget before activation", first)
	}
}

// newCellUnderPlanOne returns a cell of three relays that have agreed on a view under plan 1.
func newCellUnderPlanOne(t *testing.T) *simulatedFleet {
	sim := newSimulatedFleet(3, 3, 11)
	for i, n := range sim.relays {
		n.cfg.Cell, n.cfg.Plan, n.cfg.Timing = "east", planOfTwoCells(1, 3, 1), CellTiming
		sim.start(i)
	}
	sim.run(25_000)
	if err := sim.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	return sim
}

// Until other cells are known, the estimate uses the configured number of relays. After that the load of the
// other cells is added to the cell's own.
func TestEstimateAddsOtherCells(t *testing.T) {
	sim := newCellUnderPlanOne(t)
	relay := sim.relays[0]
	now := relay.clock(sim.now)
	relay.node.cfg.ConfiguredRelays = 9
	e := relay.node.Estimate(now)
	if e.Relays != 9 || e.OtherRequestRate != -1 || e.OtherConnections != -1 || e.Plan != 1 ||
		!e.PlanActivated {
		t.Errorf("estimate without other cells: got %+v, want 9 relays, no load of others, and plan 1 active",
			e)
	}
	near, far, _ := planOfTwoCells(1, 3, 1).BudgetShares("east")
	if math.Abs(e.BudgetShare*3-float64(near)/float64(FullBudget)) > 1e-9 ||
		math.Abs(e.FarBudgetShare*3-float64(far)/float64(FullBudget)) > 1e-9 || e.NearZones[0] != "east-1" {
		t.Errorf("a third of the budgets near %d and far %d: got shares %v and %v", near, far, e.BudgetShare,
			e.FarBudgetShare)
	}
	peers := relay.node.peers.byName
	own := peers[relayName(1)].Status.RequestRate + peers[relayName(2)].Status.RequestRate
	relay.node.Handle(now, OtherCells{Relays: 40, RequestRate: 100, OpenConnections: 7, DrainRate: 2,
		Known: true}, nil)
	if e = relay.node.Estimate(now); e.Relays != 43 || e.OtherRequestRate != own+100 ||
		e.OtherConnections != 7 ||
		e.DrainRate != 2 {
		t.Errorf("estimate with other cells: got %+v, want 43 relays, 7 connections and a drain rate of 2", e)
	}
}

// A relay of a cell that restarts with an older program gets no share and leaves the view. It joins again
// when it restarts with the newer program.
func TestOlderProgramTakesNothingInACell(t *testing.T) {
	sim := newCellUnderPlanOne(t)
	old := sim.relays[2]
	sim.kill(2)
	old.olderProgram = true
	sim.start(2)
	for range 400 {
		sim.run(100)
		if share := old.node.BudgetShare(old.clock(sim.now)); share > 0 {
			t.Fatalf("a relay with the older program takes a share of %v, want 0", share)
		}
	}
	if sim.relays[0].node.View().Entry(relayName(2)).IsMember {
		t.Error("the relay with the older program is still a member of the view, want it removed")
	}
	sim.kill(2)
	old.olderProgram = false
	sim.start(2)
	sim.run(30_000)
	if err := sim.checkAgreement(); err != nil {
		t.Error(err)
	}
}

// The members file may have plan 3 before plan 2 is activated. The cell must not get stuck: it activates plan
// 2 by the previous content of the file, then joins plan 3.
func TestPlanReplacedBeforeItIsActivated(t *testing.T) {
	sim := newCellUnderPlanOne(t)
	for _, number := range []uint64{2, 3} {
		for i := range sim.relays {
			sim.handle(i, PlanChanged{Plan: planOfTwoCells(number, 1, int(number))})
		}
		sim.run(12_000)
	}
	a := sim.relays[0].node.View().Allocation
	if wait := sim.relays[0].node.PlanPending(); a.Plan != 2 || a.Activated || wait != PendingActivation {
		t.Fatalf("got %+v, pending: %s; want plan 2 waiting for its activation", a, wait)
	}
	sim.handle(0, PlanActivated{Plan: 2, Hash: a.PlanHash})
	seen := map[string]bool{}
	for range 300 {
		sim.run(10)
		seen[sim.relays[0].node.View().Allocation.summary()] = true
	}
	if !seen["plan 2 open"] || !seen["plan 3 entered"] {
		t.Errorf("the allocations went through %v, want plan 2 open, then plan 3 entered", seen)
	}
}

// A PlanActivated event counts only for the plan of the view held, by its number and its hash.
func TestActivationOfAnotherTableDoesNotCount(t *testing.T) {
	sim := newCellUnderPlanOne(t)
	for i := range sim.relays {
		sim.handle(i, PlanChanged{Plan: planOfTwoCells(2, 1, 1)})
	}
	sim.run(2000)
	a := sim.relays[0].node.View().Allocation
	if a.Plan != 2 || a.Activated {
		t.Fatalf("adopted %+v, want plan 2, not activated", a)
	}
	if plan, joined := sim.relays[0].node.AdoptedPlan(); plan != 2 || joined {
		t.Errorf("right after the adoption: plan %d, joined %v; want plan 2, not joined", plan, joined)
	}
	sim.run(10_000)
	if got := sim.relays[0].node.JoinedPlan(); got != 2 {
		t.Errorf("joined plan after 10 s is %d, want 2", got)
	}
	sim.handle(0, PlanActivated{Plan: 2, Hash: a.PlanHash + 1})
	sim.handle(0, PlanActivated{Plan: 3, Hash: a.PlanHash})
	sim.run(2000)
	if sim.relays[0].node.View().Allocation.Activated || sim.relays[0].node.PlanPending() != PendingCells {
		t.Errorf("after activations of other plans: pending %s, want plan 2 to wait for the other cells",
			sim.relays[0].node.PlanPending())
	}
	sim.handle(1, PlanActivated{Plan: 2, Hash: a.PlanHash})
	sim.run(3000)
	if got := sim.relays[2].node.View().Allocation; !got.Activated ||
		sim.relays[2].node.ActivatedPlan() != 2 {
		t.Errorf("after the activation of plan 2: got %+v, want it activated at all relays", got)
	}
}
