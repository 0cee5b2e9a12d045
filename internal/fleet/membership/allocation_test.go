package membership

import (
	"math"
	"testing"

	"capersail/internal/fleet/cellplan"
)

// planOfTwoCells is a plan of two regions with a cell each.
func planOfTwoCells(number uint64, east, west int) *cellplan.Plan {
	return &cellplan.Plan{Number: number, HomeShare: 0.9, Cells: []cellplan.Cell{
		{Name: "east", Region: "east", Zone: "east-1", Relays: east, Contacts: []string{"127.0.0.1:1"}},
		{Name: "west", Region: "west", Zone: "west-1", Relays: west, Contacts: []string{"127.0.0.1:2"}}}}
}

// A view from elsewhere whose Allocation makes no sense is rejected: it would be acted on as it stands.
func TestCheckRejectsImpossibleAllocations(t *testing.T) {
	many := make([]string, maxCells+1)
	for name, c := range map[string]struct {
		change func(a *Allocation)
		good   bool
	}{
		"as it is":              {func(*Allocation) {}, true},
		"no plan":               {func(a *Allocation) { a.Plan = 0 }, false},
		"near under far":        {func(a *Allocation) { a.NearBudget, a.FarBudget = 1, 2 }, false},
		"over the whole":        {func(a *Allocation) { a.NearBudget = FullBudget + 1 }, false},
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
			t.Errorf("%s: %v", name, err)
		}
	}
	view := flatView()
	view.Allocation = bootstrapAllocation(planOfTwoCells(1, 3, 3), "east", 0)
	if view.Check() == nil {
		t.Error("an Allocation beside places that their owners keep")
	}
}

// A cell joins a plan with the lesser parts of both and only those zones near that are near by both, and
// is activated with the plan's own.
func TestJoinTakesTheLesserParts(t *testing.T) {
	before, after := planOfTwoCells(2, 3, 1), planOfTwoCells(3, 1, 3)
	held := (&Allocation{Plan: 1, LeaseMillis: 8000}).afterActivation(before, "east")
	held.Plan = before.Number
	joined := held.afterJoining(after, "east")
	near, far, _ := after.BudgetShares("east")
	if joined.Activated || joined.Plan != 3 || joined.NearBudget != min(near, held.NearBudget) ||
		joined.FarBudget != min(far, held.FarBudget) || joined.LeaseMillis != 8000 {
		t.Errorf("joined as %+v, holding %+v", joined, held)
	}
	if activated := joined.afterActivation(after, "east"); !activated.Activated || activated.NearBudget != near ||
		activated.FarBudget != far || len(activated.Cells) != 2 {
		t.Errorf("activated as %+v", activated)
	}
	if flat := (*Allocation)(nil).afterJoining(planOfTwoCells(2, 3, 1), "east"); flat.Plan != 2 ||
		flat.NearBudget >= FullBudget ||
		flat.Activated {
		t.Errorf("a flat fleet enters as %+v", flat)
	}
	if first := bootstrapAllocation(planOfTwoCells(2, 3, 1), "east", 0); first.Activated || first.NearBudget > 0 ||
		first.FarBudget > 0 {
		t.Errorf("a cell that is bootstrapped by plan 2 holds %+v", first)
	}
}

// newCellUnderPlanOne returns a cell of three that has agreed under plan 1.
func newCellUnderPlanOne(t *testing.T) *simulatedFleet {
	w := newSimulatedFleet(3, 3, 11)
	for i, n := range w.relays {
		n.cfg.Cell, n.cfg.Plan, n.cfg.Timing = "east", planOfTwoCells(1, 3, 1), CellTiming
		w.start(i)
	}
	w.run(25_000)
	if err := w.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	return w
}

// Until other cells are known the configured number of relays holds; then their figures are added to the
// cell's own.
func TestEstimateAddsOtherCells(t *testing.T) {
	w := newCellUnderPlanOne(t)
	node := w.relays[0]
	now := node.clock(w.now)
	node.node.cfg.ConfiguredRelays = 9
	e := node.node.Estimate(now)
	if e.Relays != 9 || e.OtherRequestRate != -1 || e.OtherConnections != -1 || e.Plan != 1 ||
		!e.PlanActivated {
		t.Errorf("with nothing known of the others: %+v", e)
	}
	near, far, _ := planOfTwoCells(1, 3, 1).BudgetShares("east")
	if math.Abs(e.BudgetShare*3-float64(near)/float64(FullBudget)) > 1e-9 ||
		math.Abs(e.FarBudgetShare*3-float64(far)/float64(FullBudget)) > 1e-9 || e.NearZones[0] != "east-1" {
		t.Errorf("three shares of near %d and far %d are %v and %v each", near, far, e.BudgetShare,
			e.FarBudgetShare)
	}
	peers := node.node.peers.byName
	own := peers[relayName(1)].Status.RequestRate + peers[relayName(2)].Status.RequestRate
	node.node.Handle(now, OtherCells{Relays: 40, RequestRate: 100, OpenConnections: 7, DrainRate: 2,
		Known: true}, nil)
	if e = node.node.Estimate(now); e.Relays != 43 || e.OtherRequestRate != own+100 ||
		e.OtherConnections != 7 ||
		e.DrainRate != 2 {
		t.Errorf("with the others: %+v", e)
	}
}

// A relay of the cell that is put back to an older program is granted nothing, leaves the view, and comes
// back in with a newer one.
func TestOlderProgramTakesNothingInACell(t *testing.T) {
	w := newCellUnderPlanOne(t)
	old := w.relays[2]
	w.kill(2)
	old.olderProgram = true
	w.start(2)
	for range 400 {
		w.run(100)
		if share := old.node.BudgetShare(old.clock(w.now)); share > 0 {
			t.Fatalf("an older program takes %v of the whole", share)
		}
	}
	if w.relays[0].node.View().Entry(relayName(2)).IsMember {
		t.Error("it is still in the view")
	}
	w.kill(2)
	old.olderProgram = false
	w.start(2)
	w.run(30_000)
	if err := w.checkAgreement(); err != nil {
		t.Error(err)
	}
}

// A file that goes on to plan 3 while plan 2 is not activated yet doesn't stop the cell: it opens 2 by the
// table it had, then enters 3.
func TestPlanReplacedBeforeItIsActivated(t *testing.T) {
	w := newCellUnderPlanOne(t)
	for _, number := range []uint64{2, 3} {
		for i := range w.relays {
			w.handle(i, PlanChanged{Plan: planOfTwoCells(number, 1, int(number))})
		}
		w.run(12_000)
	}
	a := w.relays[0].node.View().Allocation
	if wait := w.relays[0].node.PlanPending(); a.Plan != 2 || a.Activated || wait != PendingActivation {
		t.Fatalf("%+v, %s", a, wait)
	}
	w.handle(0, PlanActivated{Plan: 2, Hash: a.PlanHash})
	seen := map[string]bool{}
	for range 300 {
		w.run(10)
		seen[w.relays[0].node.View().Allocation.summary()] = true
	}
	if !seen["plan 2 open"] || !seen["plan 3 entered"] {
		t.Errorf("went through %v", seen)
	}
}

// Word that a plan is open counts for the view's own plan and table only.
func TestActivationOfAnotherTableDoesNotCount(t *testing.T) {
	w := newCellUnderPlanOne(t)
	for i := range w.relays {
		w.handle(i, PlanChanged{Plan: planOfTwoCells(2, 1, 1)})
	}
	w.run(2000)
	a := w.relays[0].node.View().Allocation
	if a.Plan != 2 || a.Activated {
		t.Fatalf("adopted %+v", a)
	}
	if plan, quiet := w.relays[0].node.AdoptedPlan(); plan != 2 || quiet {
		t.Errorf("adopted %d, joined %v right away", plan, quiet)
	}
	w.run(10_000)
	if got := w.relays[0].node.JoinedPlan(); got != 2 {
		t.Errorf("joined %d after 10 s", got)
	}
	w.handle(0, PlanActivated{Plan: 2, Hash: a.PlanHash + 1})
	w.handle(0, PlanActivated{Plan: 3, Hash: a.PlanHash})
	w.run(2000)
	if w.relays[0].node.View().Allocation.Activated || w.relays[0].node.PlanPending() != PendingCells {
		t.Errorf("open by another table: %s", w.relays[0].node.PlanPending())
	}
	w.handle(1, PlanActivated{Plan: 2, Hash: a.PlanHash})
	w.run(3000)
	if got := w.relays[2].node.View().Allocation; !got.Activated ||
		w.relays[2].node.ActivatedPlan() != 2 {
		t.Errorf("not open: %+v", got)
	}
}
