package membership

import (
	"math/rand/v2"
	"testing"

	"capersail/internal/fleet/cellplan"
)

// A plan may leave out a cell that holds a budget by the previous plan, and name only cells that are
// bootstrapped by it. These cells cannot know of the one left out, so the plan must not be activated before a
// cell has joined it from the previous plan.
func TestPlanThatLeavesOutAHolder(t *testing.T) {
	f := &federation{rng: rand.New(rand.NewPCG(1, 7)), partitioned: map[[2]string]bool{},
		plans: map[uint64]*cellplan.Plan{}, zones: []string{"nobody's"}}
	f.bootstrap(1, 1, 3, false)
	f.run(20_000)
	newCell := cellplan.Cell{Name: "founded", Region: "east", Zone: "east-0", Relays: 3,
		Contacts: []string{"127.0.0.1:1"}}
	f.publishPlan(cellplan.Plan{Number: 2, HomeShare: 0.9, Cells: []cellplan.Cell{newCell}})
	f.newCells(3)
	f.run(60_000)
	if err := f.checkMaxSum(); err != nil {
		t.Error(err)
	}
}
