package membership

import (
	"time"

	"capersail/internal/fleet/cellplan"
)

// planState is what a relay of a cell knows of its plans, beside the Allocation of the view held. A plan
// is adopted when the view has it, joined when nobody in the cell acts by an earlier one, and activated
// when every cell has joined it.
//
// Invariants: joined and activated never fall; activated counts only for the plan, and the table, of the
// view held.
type planState struct {
	file         *cellplan.Plan // the file's; nil without cells
	cell         string         // the name of this relay's cell, "" without cells
	previous     *cellplan.Plan // that the file had before, while the view is by it
	bootstrapped bool           // view 0 has no slots: the chain is, or is to be, bootstrapped by a plan
	adoptedAt    time.Duration  // when this process first held a view of the present plan
	joined       uint64         // the newest plan joined that this process knows of, 0 for none
	activated    uint64         // the newest plan activated that this relay knows of, 0 for none
	otherCells   OtherCells     // what the other cells do, by their last summaries
}

// table is the plan that an Allocation is by, if the file has it, or has had it since this process started.
func (s *planState) table(a *Allocation) *cellplan.Plan {
	if a == nil {
		return nil
	}
	for _, plan := range []*cellplan.Plan{s.file, s.previous} {
		if a.isBy(plan) {
			return plan
		}
	}
	return nil
}

// change takes in the file's plan. The one before is kept while the view is by it: it may have to be
// activated still.
func (s *planState) change(e PlanChanged, current *Allocation) {
	if e.Plan == nil {
		return
	}
	if s.cell == "" {
		s.cell = e.Cell
	}
	if table := s.table(current); table != nil {
		s.previous = table
	}
	s.file = e.Plan
}

// noteActivated notes that a plan is activated.
func (s *planState) noteActivated(plan uint64) { s.activated = max(s.activated, plan) }

// noteJoined notes that a plan is joined.
func (s *planState) noteJoined(plan uint64) { s.joined = max(s.joined, plan) }

// PlanPendingReason is why the plan of the file is not acted by yet.
type PlanPendingReason uint8

// The reasons.
const (
	PlanActive        PlanPendingReason = iota // nothing is waited for
	PendingCells                               // it is adopted; not all cells are known to have joined it
	PendingTable                               // all cells have joined the view's plan; the file has another
	PendingSequence                            // the file's plan skips a number
	PendingActivation                          // the plan before is not activated yet
	PendingUpgrade                             // a member has published no status of version 2
	PendingSlots                               // a slot of view 0 is not released
	PendingCellNames                           // the file's plan does not name all cells that hold a part
	PendingView                                // no view is agreed yet
)

var planPendingTexts = [...]string{
	PlanActive:        "in force",
	PendingCells:      "not all cells have entered it",
	PendingTable:      "the file has another table",
	PendingSequence:   "it is not the number that follows",
	PendingActivation: "the plan before is not open",
	PendingUpgrade:    "a member's program is too old",
	PendingSlots:      "a place is not handed over",
	PendingCellNames:  "it does not name every cell that holds a part",
	PendingView:       "no view is agreed",
}

// String is the text of logs and reports.
func (r PlanPendingReason) String() string { return textOf(planPendingTexts[:], uint8(r)) }
