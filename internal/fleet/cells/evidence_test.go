package cells

import (
	"fmt"
	"testing"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// joinPlan gives a cell's view a plan, which the cell reports as joined 15 s later.
func (n *network) joinPlan(g *simulatedCell, plan cellplan.Plan) {
	g.plan, g.hash, g.requiredCells = plan.Number, plan.Hash(), plan.CellNames()
	g.epoch++
	n.after(15*second, func() { g.joinedPlan = plan.Number })
}

// No relay activates a plan before every cell has joined it, and all relays activate it soon afterwards,
// while packets are lost, duplicated, delayed and reordered and one cell is cut off for a while.
func TestPlanActivatesAfterAllHaveJoined(t *testing.T) {
	for seed := range uint64(4) {
		n := newFleet(t, seed, []int{2, 2}, 2, 3)
		n.lossRate, n.duplicateRate = 0.05, 0.2
		n.advance(60 * second)
		activatedEarly := false
		next := n.plan
		n.afterEvent = func() {
			allJoined := true
			for _, g := range n.cells {
				allJoined = allJoined && g.joinedPlan >= next.Number
			}
			for _, r := range n.byName {
				activatedEarly = activatedEarly || !allJoined && r.coordinator.ActivatedPlan() >= next.Number
			}
		}
		for number := uint64(2); number <= 4; number++ {
			next.Number = number
			last := n.cells[n.rng.IntN(len(n.cells))]
			n.isCut = func(from, to *relay) bool { return (from.cell == last) != (to.cell == last) }
			for _, g := range n.cells {
				n.after(duration.Scale(30*second, n.rng.Float64()), func() { n.joinPlan(g, next) })
			}
			n.advance(50 * second)
			n.kill(n.cells[0].representative())
			n.advance(10 * second)
			if activated := n.activatedCount(number); activated != 0 {
				t.Fatalf("seed %d: %d relays activated plan %d while a cell is cut off, want 0", seed,
					activated, number)
			}
			n.isCut = nil
			took := n.advanceUntil(60*second,
				func() bool { return n.activatedCount(number) == n.runningCount() })
			t.Logf("seed %d: plan %d is activated at all relays %.1f s after the cut ended", seed, number,
				took.Seconds())
			if took > 30*second {
				t.Error("plan was activated later than 30 s after the cut ended")
			}
			for _, r := range n.cells[0].relays {
				if !r.running {
					n.start(r)
				}
			}
		}
		if activatedEarly {
			t.Errorf("seed %d: a plan was activated before all cells had joined it", seed)
		}
	}
}

// activatedCount returns the number of running relays that have activated a plan.
func (n *network) activatedCount(plan uint64) (count int) {
	for _, r := range n.byName {
		if r.running && r.coordinator.ActivatedPlan() >= plan {
			count++
		}
	}
	return count
}

// runningCount returns the number of running relays.
func (n *network) runningCount() (count int) {
	for _, r := range n.byName {
		if r.running {
			count++
		}
	}
	return count
}

// Evidence that a cell has joined a plan is not revoked by an old or duplicated summary, and a summary with a
// different plan of the same number is not counted.
func TestEvidenceIsMonotone(t *testing.T) {
	c, plan := newTestCoordinator(t)
	joined := func(number, hash uint64) LocalCell {
		return LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 32, Plan: number, PlanHash: hash,
			RequiredCells: plan.CellNames(), JoinedPlan: number}
	}
	before := plan
	before.Number = 1
	old := summaryOf(before, "b", 1)
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "b", 2)}, nil)
	c.Handle(0, SummaryReceived{Summary: old}, nil)
	newer := old
	newer.Seq = 3
	c.Handle(0, SummaryReceived{Summary: newer}, nil) // from relays of b that still have the older plan
	other := plan
	other.HomeShare = 0.5
	c.Handle(0, SummaryReceived{Summary: summaryOf(other, "b", 4)}, nil)
	c.Handle(0, joined(2, plan.Hash()), nil)
	c.Handle(0, SummaryReceived{Summary: old}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated without a summary of cell c")
	}
	wrong := summaryOf(other, "c", 1)
	out := c.Handle(0, SummaryReceived{Summary: wrong}, nil)
	wrong.Seq++
	out = c.Handle(0, SummaryReceived{Summary: wrong}, out)
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated although cell c has a different plan of that number")
	}
	mismatches := 0
	for _, a := range out {
		if changed, is := a.(CellChanged); is && changed.Kind == PlanMismatch && changed.Cell == "c" {
			mismatches++
		}
	}
	if mismatches != 1 {
		t.Error("plan mismatch should be reported once, was reported", mismatches, "times")
	}
	waiting := summaryOf(plan, "c", 3) // a relay of c may still act by the previous plan
	waiting.JoinedPlan = 1
	c.Handle(0, SummaryReceived{Summary: waiting}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated although cell c has not joined it")
	}
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "c", 2)}, nil)
	if c.ActivatedPlan() != 2 {
		t.Fatal("plan was not activated although a late summary says that cell c has joined it")
	}
	c.Handle(0, joined(3, 77), nil)
	c.Handle(0, DirectoryReceived{Directory: Directory{Cell: "a", Representative: "a-0", Incarnation: 1,
		Seq: 1, ActivatedPlan: 1}}, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("activated plan changed after a directory with an older one")
	}
}

// Activation waits for a cell that the view's plan names and the file's plan does not, and for this cell
// itself.
func TestActivationGoesByTheView(t *testing.T) {
	c, plan := newTestCoordinator(t)
	l := LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 32, Plan: 2, PlanHash: plan.Hash(),
		RequiredCells: append(plan.CellNames(), "gone"), JoinedPlan: 1}
	c.Handle(0, l, nil)
	for _, name := range []string{"b", "c"} {
		c.Handle(0, SummaryReceived{Summary: summaryOf(plan, name, 1)}, nil)
	}
	l.JoinedPlan = 2
	c.Handle(0, l, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated without a cell that only the view's plan names")
	}
	l.JoinedPlan = 1
	c.Handle(0, l, nil)
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "gone", 1)}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated although this cell has not joined it")
	}
	l.JoinedPlan = 2
	c.Handle(0, l, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("plan was not activated although all cells have joined it")
	}
}

// A cell that has joined a later plan counts as having joined the earlier one, even if an old summary arrives
// afterwards.
func TestLaterPlanCounts(t *testing.T) {
	c, plan := newTestCoordinator(t)
	c.Handle(0, LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 32, Plan: 2, PlanHash: plan.Hash(),
		RequiredCells: plan.CellNames(), JoinedPlan: 2}, nil)
	later, old := plan, plan
	later.Number, old.Number = 4, 1
	c.Handle(0, SummaryReceived{Summary: summaryOf(later, "b", 1)}, nil)
	c.Handle(0, SummaryReceived{Summary: summaryOf(old, "b", 2)}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated without cell c")
	}
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "c", 1)}, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("plan was not activated after an old summary of a cell that is past the plan")
	}
}

// The plan of a view that names more cells than the maximum is never activated.
func TestTooManyCellsNeverActivate(t *testing.T) {
	c, plan := newTestCoordinator(t)
	l := LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 32, Plan: 2, PlanHash: plan.Hash(),
		RequiredCells: plan.CellNames(), JoinedPlan: 2}
	for i := range cellplan.MaxCells {
		l.RequiredCells = append(l.RequiredCells, fmt.Sprint("x", i))
	}
	c.Handle(0, l, nil)
	for _, name := range l.RequiredCells {
		c.Handle(0, SummaryReceived{Summary: summaryOf(plan, name, 1)}, nil)
	}
	if c.ActivatedPlan() != 0 || len(c.remotes) != 2 {
		t.Error("activated", c.ActivatedPlan(), "with", len(c.remotes), "other cells kept, want 0 and 2")
	}
}

// A plan that only cells bootstrapped with it have joined is not activated, because none of them knows which
// cells held a budget share under the previous plan. It is activated once a cell is known that has joined it
// from the previous plan.
func TestBootstrappedCellsAloneNeverActivate(t *testing.T) {
	c, plan := newTestCoordinator(t)
	c.Handle(0, LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 32, Plan: 2, PlanHash: plan.Hash(),
		RequiredCells: plan.CellNames(), JoinedPlan: 2, Bootstrapped: true}, nil)
	for _, name := range plan.CellNames() {
		s := summaryOf(plan, name, 1)
		s.Bootstrapped = true
		c.Handle(0, SummaryReceived{Summary: s}, nil)
	}
	if c.ActivatedPlan() != 0 {
		t.Fatal("plan was activated although no cell has joined it from the previous plan")
	}
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "b", 2)}, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("plan was not activated although all cells have joined it, one from the previous plan")
	}
}
