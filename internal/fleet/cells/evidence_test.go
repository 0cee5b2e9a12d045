package cells

import (
	"fmt"
	"testing"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// joinPlan makes a cell's view hold a plan, and say so as joined later.
func (n *network) joinPlan(g *simulatedCell, plan cellplan.Plan) {
	g.plan, g.hash, g.requiredCells = plan.Number, plan.Hash(), plan.CellNames()
	g.epoch++
	n.after(15*second, func() { g.joinedPlan = plan.Number })
}

// A plan is activated nowhere before every cell has joined it, and everywhere soon after, while packets are
// lost, doubled, held up and sent again, and one cell is cut off for a while.
func TestPlanActivatesAfterAllHaveJoined(t *testing.T) {
	for seed := range uint64(4) {
		n := newFleet(t, seed, []int{2, 2}, 2, 3)
		n.lossRate, n.duplicateRate = 0.05, 0.2
		n.advance(60 * second)
		early := false
		next := n.plan
		n.afterEvent = func() {
			all := true
			for _, g := range n.cells {
				all = all && g.joinedPlan >= next.Number
			}
			for _, r := range n.byName {
				early = early || !all && r.coordinator.ActivatedPlan() >= next.Number
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
			if open := n.activatedCount(number); open != 0 {
				t.Fatalf("seed %d: %d relays hold plan %d for open while a cell is cut off", seed, open,
					number)
			}
			n.isCut = nil
			took := n.advanceUntil(60*second,
				func() bool { return n.activatedCount(number) == n.runningCount() })
			t.Logf("seed %d: plan %d is open everywhere %.1f s after the heal", seed, number, took.Seconds())
			if took > 30*second {
				t.Error("too late")
			}
			for _, r := range n.cells[0].relays {
				if !r.running {
					n.start(r)
				}
			}
		}
		if early {
			t.Errorf("seed %d: a plan was activated before all cells had joined it", seed)
		}
	}
}

func (n *network) activatedCount(plan uint64) (count int) {
	for _, r := range n.byName {
		if r.running && r.coordinator.ActivatedPlan() >= plan {
			count++
		}
	}
	return count
}

func (n *network) runningCount() (count int) {
	for _, r := range n.byName {
		if r.running {
			count++
		}
	}
	return count
}

// Word of a plan joined is never taken back by an old or doubled summary, and never made from one of
// another table.
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
	c.Handle(0, SummaryReceived{Summary: newer}, nil) // of a part of the cell that is behind
	other := plan
	other.HomeShare = 0.5
	c.Handle(0, SummaryReceived{Summary: summaryOf(other, "b", 4)}, nil)
	c.Handle(0, joined(2, plan.Hash()), nil)
	c.Handle(0, SummaryReceived{Summary: old}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("activated though nothing came from cell c")
	}
	wrong := summaryOf(other, "c", 1)
	out := c.Handle(0, SummaryReceived{Summary: wrong}, nil)
	wrong.Seq++
	out = c.Handle(0, SummaryReceived{Summary: wrong}, out)
	if c.ActivatedPlan() != 0 {
		t.Fatal("another table is counted")
	}
	mismatches := 0
	for _, a := range out {
		if changed, is := a.(CellChanged); is && changed.Kind == PlanMismatch && changed.Cell == "c" {
			mismatches++
		}
	}
	if mismatches != 1 {
		t.Error("the mismatch is reported", mismatches, "times")
	}
	waiting := summaryOf(plan, "c", 3) // it holds the plan, but somebody may still act by the one before
	waiting.JoinedPlan = 1
	c.Handle(0, SummaryReceived{Summary: waiting}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("a cell counts that isn't quiet")
	}
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "c", 2)}, nil)
	if c.ActivatedPlan() != 2 {
		t.Fatal("what an overtaken packet says is true too, but it isn't counted")
	}
	c.Handle(0, joined(3, 77), nil)
	c.Handle(0, DirectoryReceived{Directory: Directory{Cell: "a", Representative: "a-0", Incarnation: 1,
		Seq: 1, ActivatedPlan: 1}}, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("what was open is taken back")
	}
}

// A cell that is missing from the file's plan, but not from the view's, is waited for; and nobody opens a
// plan that this cell hasn't joined itself.
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
		t.Fatal("a cell of the plan before isn't waited for")
	}
	l.JoinedPlan = 1
	c.Handle(0, l, nil)
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "gone", 1)}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("activated though this cell hasn't joined the plan")
	}
	l.JoinedPlan = 2
	c.Handle(0, l, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("not activated though all have joined")
	}
}

// A cell that has joined a later plan has been through the one before, also when an old summary comes after.
func TestLaterPlanCounts(t *testing.T) {
	c, plan := newTestCoordinator(t)
	c.Handle(0, LocalCell{Voters: []Voter{{Name: "a-1"}}, Members: 32, Plan: 2, PlanHash: plan.Hash(),
		RequiredCells: plan.CellNames(), JoinedPlan: 2}, nil)
	later, old := plan, plan
	later.Number, old.Number = 4, 1
	c.Handle(0, SummaryReceived{Summary: summaryOf(later, "b", 1)}, nil)
	c.Handle(0, SummaryReceived{Summary: summaryOf(old, "b", 2)}, nil)
	if c.ActivatedPlan() != 0 {
		t.Fatal("open without cell c")
	}
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "c", 1)}, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("an old summary takes back that a cell is past the plan")
	}
}

// A view that names more cells than are kept is never activated.
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
		t.Error("activated", c.ActivatedPlan(), "with", len(c.remotes), "cells kept")
	}
}

// A plan that only cells bootstrapped by it have joined is not activated: none of them knows who held a
// part by the plan before. Once one is known that has come from there, it is.
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
		t.Fatal("open though nobody has come from the plan before")
	}
	c.Handle(0, SummaryReceived{Summary: summaryOf(plan, "b", 2)}, nil)
	if c.ActivatedPlan() != 2 {
		t.Error("not activated though one has come from the plan before, and all have joined")
	}
}
