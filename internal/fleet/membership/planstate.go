package membership

import (
	"time"

	"capersail/internal/fleet/cellplan"
)

// planState is what a relay of a cell knows of its plans, in addition to the Allocation of the view held. A
// plan is adopted when the view has it, joined when no relay in the cell acts by an earlier one, and
// activated when every cell has joined it.
//
// Invariants: joinedPlan and activatedPlan never fall; activatedPlan counts only for the plan, by number and
// hash, of the view held.
type planState struct {
	filePlan           *cellplan.Plan // the plan of the members file; nil without cells
	cell               string         // the name of this relay's cell, "" without cells
	previousPlan       *cellplan.Plan // an earlier one of the members file, while the view is by it
	bootstrappedByPlan bool           // view 0 has no slots, as a plan bootstraps the chain
	adoptedAt          time.Duration  // when this process first held a view by the present plan
	joinedPlan         uint64         // the newest joined plan that this process knows of, 0 for none
	activatedPlan      uint64         // the newest activated plan that this relay knows of, 0 for none
	otherCells         OtherCells     // load of the other cells, by their last summaries
}

// planOf returns the plan that an Allocation was made by, if the members file has it or has had it since this
// process started, else nil.
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

// setFilePlan records the new plan of the members file. The previous plan is kept while the view is by it, as
// it may still have to be activated.
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

// noteActivated records that a plan is activated.
func (s *planState) noteActivated(plan uint64) { s.activatedPlan = max(s.activatedPlan, plan) }

// noteJoined records that a plan is joined.
func (s *planState) noteJoined(plan uint64) { s.joinedPlan = max(s.joinedPlan, plan) }

// PlanPendingReason says why the cell does not yet act by the plan of the members file.
type PlanPendingReason uint8

// The reasons why a plan is pending.
const (
	PlanActive        PlanPendingReason = iota // the plan is active
	PendingCells                               // adopted, but not all cells are known to have joined it
	PendingPlanFile                            // all cells have joined the view's plan; the file has another
	PendingSequence                            // the file's plan skips a number
	PendingActivation                          // the previous plan is not activated yet
	PendingUpgrade                             // a member has published no status of version 2
	PendingSlots                               // a slot of view 0 is not released
	PendingCellNames                           // the file's plan does not name all cells that hold a part
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

// String returns the text for logs and reports.
func (r PlanPendingReason) String() string { return textOf(planPendingTexts[:], uint8(r)) }
