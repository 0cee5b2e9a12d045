package membership

import "testing"

// The plan before stays at hand while the view is by it, so that it can be activated though the file has
// gone on; what is joined or activated never falls.
func TestPlanStateKeepsTheTableOfTheView(t *testing.T) {
	first, second, third := planOfTwoCells(2, 3, 1), planOfTwoCells(3, 1, 3), planOfTwoCells(4, 2, 2)
	byFirst := &Allocation{Plan: first.Number, PlanHash: first.Hash()}
	s := planState{filePlan: first}
	s.setFilePlan(PlanChanged{Plan: second, Cell: "east"}, byFirst)
	s.setFilePlan(PlanChanged{Plan: third, Cell: "west"}, byFirst)
	if s.planOf(byFirst) != first || s.filePlan != third || s.cell != "east" {
		t.Errorf("the table of the view is lost, or the cell has changed: %+v", s)
	}
	if s.planOf(nil) != nil || s.planOf(&Allocation{Plan: first.Number, PlanHash: first.Hash() + 1}) != nil {
		t.Error("a table for no plan, or for another one")
	}
	s.setFilePlan(PlanChanged{}, byFirst)
	if s.filePlan != third {
		t.Error("no plan took the place of one")
	}
	s.noteActivated(3)
	s.noteActivated(2)
	s.noteJoined(4)
	s.noteJoined(1)
	if s.activatedPlan != 3 || s.joinedPlan != 4 {
		t.Errorf("activated %d, joined %d", s.activatedPlan, s.joinedPlan)
	}
}
