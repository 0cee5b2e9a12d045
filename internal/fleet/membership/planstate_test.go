package membership

import "testing"

// The plan before stays at hand while the view is by it, so that it can be activated though the file has
// gone on; what is joined or activated never falls.
func TestPlanStateKeepsTheTableOfTheView(t *testing.T) {
	first, second, third := twoCells(2, 3, 1), twoCells(3, 1, 3), twoCells(4, 2, 2)
	byFirst := &Allocation{Plan: first.Number, PlanHash: first.Hash()}
	s := planState{file: first}
	s.change(PlanChanged{Plan: second, Cell: "east"}, byFirst)
	s.change(PlanChanged{Plan: third, Cell: "west"}, byFirst)
	if s.table(byFirst) != first || s.file != third || s.cell != "east" {
		t.Errorf("the table of the view is lost, or the cell has changed: %+v", s)
	}
	if s.table(nil) != nil || s.table(&Allocation{Plan: first.Number, PlanHash: first.Hash() + 1}) != nil {
		t.Error("a table for no plan, or for another one")
	}
	s.change(PlanChanged{}, byFirst)
	if s.file != third {
		t.Error("no plan took the place of one")
	}
	s.noteActivated(3)
	s.noteActivated(2)
	s.noteJoined(4)
	s.noteJoined(1)
	if s.activated != 3 || s.joined != 4 {
		t.Errorf("activated %d, joined %d", s.activated, s.joined)
	}
}
