package membership

import "testing"

// The previous plan is kept while the view is by it, so that it can be activated after the members file has
// got another plan. The numbers of the joined and of the activated plan never fall.
func TestPlanStateKeepsTheTableOfTheView(t *testing.T) {
	first, second, third := planOfTwoCells(2, 3, 1), planOfTwoCells(3, 1, 3), planOfTwoCells(4, 2, 2)
	byFirst := &Allocation{Plan: first.Number, PlanHash: first.Hash()}
	s := planState{filePlan: first}
	s.setFilePlan(PlanChanged{Plan: second, Cell: "east"}, byFirst)
	s.setFilePlan(PlanChanged{Plan: third, Cell: "west"}, byFirst)
	if s.planOf(byFirst) != first || s.filePlan != third || s.cell != "east" {
		t.Errorf("got %+v, want the view's plan kept, the newest file plan, and the first cell name", s)
	}
	if s.planOf(nil) != nil || s.planOf(&Allocation{Plan: first.Number, PlanHash: first.Hash() + 1}) != nil {
		t.Error("got a plan for no Allocation, or for one with another hash; want nil")
	}
	s.setFilePlan(PlanChanged{}, byFirst)
	if s.filePlan != third {
		t.Error("a PlanChanged event without a plan replaced the file's plan, want it ignored")
	}
	s.noteActivated(3)
	s.noteActivated(2)
	s.noteJoined(4)
	s.noteJoined(1)
	if s.activatedPlan != 3 || s.joinedPlan != 4 {
		t.Errorf("got activated plan %d and joined plan %d, want 3 and 4", s.activatedPlan, s.joinedPlan)
	}
}
