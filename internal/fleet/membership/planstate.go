package membership

import (
	"time"

	"capersail/internal/fleet/cellplan"
)

// planState is what a relay of a cell knows of the fleet's plans, in addition to the Allocation of the
// current view. A cell adopts a plan with the first view whose Allocation is made by the plan. The cell has
// joined the plan when no relay in the cell acts by an earlier plan. The plan is activated when every cell
// has joined it.
//
// Invariants: joinedPlan and activatedPlan never fall. activatedPlan is compared only with the plan of the
// current view, and an event that reports the activation of a plan with another hash is ignored.
type planState struct {
	filePlan           *cellplan.Plan // the plan of the members file; nil without cells
	cell               string         // the name of this relay's cell, "" without cells
	previousPlan       *cellplan.Plan // an earlier plan of the file, by which the current view is made
	bootstrappedByPlan bool           // view 0 has no slots, because a plan bootstraps the chain
	adoptedAt          time.Duration  // when this process first had a view made by the adopted plan
	joinedPlan         uint64         // the newest plan that this process knows to be joined, 0 for none
	activatedPlan      uint64         // the newest plan that this relay knows to be activated, 0 for none
	otherCells         OtherCells     // load of the other cells, from their last summaries
}

// planOf returns the plan by which an Allocation was made, nil if the plan is neither filePlan nor
// previousPlan.
func (s *planState) planOf(a *Allocation) *cellplan.Plan {
	if a == nil {
		return nil
	}
	for _, plan := range []*cellplan.Plan{s.filePlan, s.previousPlan} {
		if a.matchesPlan(plan) {
			return plan
		}
	}
	return nil
}

// setFilePlan records the new plan of the members file. The plan by which the current view is made is kept as
// previousPlan, because it may still have to be activated.
func (s *planState) setFilePlan(e PlanChanged, current *Allocation) {
	if e.Plan == nil {
		return
	}
	if s.cell == "" {
		s.cell = e.Cell
	}
	if heldPlan := s.planOf(current); heldPlan != nil {
		s.previousPlan = heldPlan
	}
	s.filePlan = e.Plan
}

// noteActivated records that a plan is activated. It ignores a plan older than activatedPlan.
func (s *planState) noteActivated(plan uint64) { s.activatedPlan = max(s.activatedPlan, plan) }

// noteJoined records that the cell has joined a plan. It ignores a plan older than joinedPlan.
func (s *planState) noteJoined(plan uint64) { s.joinedPlan = max(s.joinedPlan, plan) }

// PlanPendingReason says why the cell does not act by the plan of the members file yet.
type PlanPendingReason uint8

// The reasons why a plan is pending.
const (
	PlanActive        PlanPendingReason = iota // the plan is active
	PendingCells                               // not all cells are known to have joined the adopted plan
	PendingPlanFile                            // all cells joined the view's plan; the file has another plan
	PendingSequence                            // the plan of the members file skips a number
	PendingActivation                          // the previous plan is not activated yet
	PendingUpgrade                             // a member has published no status of version 2
	PendingSlots                               // a slot of view 0 is not released
	PendingCellNames                           // the members file's plan omits a cell that may hold a budget
	PendingView                                // no view is agreed yet
)

var planPendingTexts = [...]string{
	PlanActive:        "in force",
	PendingCells:      "not all cells have entered it",
	PendingPlanFile:   "the file has another table",
	PendingSequence:   "it is not the number that follows",
	PendingActivation: "the plan before is not open",
	PendingUpgrade:    "a member's program is too old",
	PendingSlots:      "a place is not handed over",
	PendingCellNames:  "it does not name every cell that holds a part",
	PendingView:       "no view is agreed",
}

// String returns the text of the reason for logs and reports.
func (r PlanPendingReason) String() string { return textOf(planPendingTexts[:], uint8(r)) }
