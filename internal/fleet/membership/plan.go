package membership

import (
	"slices"
	"time"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
)

// Timing is how often a relay says what it says again. The zero Timing is the flat fleet's.
type Timing struct {
	// LeaseFor is for the founding of a cell: the chain keeps it in its views, and all its relays act by that. Renewals come
	// LeaseFor/4 apart.
	LeaseDuration  time.Duration
	StatusInterval time.Duration // at least so long between two statuses without news
}

// withFlatDefaults fills in what is not set.
func (p Timing) withFlatDefaults() Timing {
	if p.LeaseDuration <= 0 {
		p.LeaseDuration = LeaseDuration
	}
	if p.StatusInterval <= 0 {
		p.StatusInterval = flatStatusInterval
	}
	return p
}

// CellTiming is the pace inside a cell.
var CellTiming = Timing{LeaseDuration: 8 * time.Second, StatusInterval: 10 * time.Second}

// flatStatusInterval of the flat fleet.
const flatStatusInterval = time.Second

// PlanPendingReason is why the plan of the file is not acted by yet.
type PlanPendingReason uint8

// The reasons.
const (
	PlanActive        PlanPendingReason = iota // nothing is waited for
	PendingCells                               // it is entered; not all cells are known to have entered it
	PendingTable                               // all cells have entered the view's plan, and this relay's file has another
	PendingSequence                            // the file's plan is not the one that follows: a number was skipped
	PendingActivation                          // the plan before is not open yet
	PendingUpgrade                             // a member has not told a status of version 2
	PendingSlots                               // a place of view 0 is its owner's still
	PendingCellNames                           // the file's plan does not name all cells that hold a part
	PendingView                                // no view is agreed yet
)

func (w PlanPendingReason) String() string {
	return [...]string{"in force", "not all cells have entered it", "the file has another table", "it is not the number that follows", "the plan before is not open",
		"a member's program is too old", "a place is not handed over", "it does not name every cell that holds a part", "no view is agreed"}[min(w, PendingView)]
}

// nextAllocation is the Allocation that the next view is to have, and what the file's plan waits for.
func (n *Node) nextAllocation() (*Allocation, PlanPendingReason) {
	current, plan := n.view.Allocation, n.cfg.Plan
	switch {
	case n.view.Epoch == 0 && n.bootstrappedByPlan:
		return bootstrapAllocation(plan, n.cfg.Cell, n.bootstrapLeaseMillis()), PendingView
	case n.view.Epoch == 0:
		return nil, PendingView
	case current != nil && !current.Activated && n.allCellsJoined(current.Plan):
		if table := n.planOfView(); table != nil {
			return current.activated(table, n.cfg.Cell), PlanActive
		}
	}
	if plan == nil || plan.Number <= current.plan() {
		if current != nil && !current.Activated {
			if n.allCellsJoined(current.Plan) {
				return current, PendingTable
			}
			return current, PendingCells
		}
		return current, PlanActive
	}
	if wait := n.joinPending(); wait != PlanActive {
		return current, wait
	}
	next := current.joined(plan, n.cfg.Cell)
	if !n.jointPlans {
		next.Near, next.Far, next.NearZones = plan.Parts(n.cfg.Cell)
	}
	return next, PendingCells
}

// planOfView is the plan of the view held, if this relay's file has it, or has had it in this life.
func (n *Node) planOfView() *cellplan.Plan {
	a := n.view.Allocation
	for _, plan := range []*cellplan.Plan{n.cfg.Plan, n.previousPlan} {
		if a != nil && plan != nil && plan.Number == a.Plan && plan.Hash() == a.PlanHash {
			return plan
		}
	}
	return nil
}

// onPlanChanged takes in the file's plan. The one before is kept while the view is by it: it may have to be opened still.
func (n *Node) onPlanChanged(e PlanChanged) {
	if e.Plan == nil {
		return
	}
	if n.cfg.Cell == "" {
		n.cfg.Cell = e.Cell
	}
	if table := n.planOfView(); table != nil {
		n.previousPlan = table
	}
	n.cfg.Plan = e.Plan
}

// bootstrapLeaseMillis is the time of a lease in the chain that this relay founds.
func (n *Node) bootstrapLeaseMillis() uint32 {
	if n.cfg.Timing.LeaseDuration == LeaseDuration {
		return 0
	}
	return uint32(n.cfg.Timing.LeaseDuration / time.Millisecond)
}

// allCellsJoined tells whether every cell of a plan is known to have entered it, and to act by no earlier one.
func (n *Node) allCellsJoined(plan uint64) bool { return n.activatedPlan >= plan || !n.awaitsCells }

// joinPending is what entering the file's plan waits for; the plan's number is over the present one's.
func (n *Node) joinPending() PlanPendingReason {
	v, plan := n.view, n.cfg.Plan
	current := v.Allocation
	switch {
	case plan.Number != current.successor() && n.inSequence:
		return PendingSequence
	case current != nil && !current.Activated && !n.allCellsJoined(current.Plan):
		return PendingActivation
	case len(v.UnreleasedSlots) > 0:
		return PendingSlots
	case plan.CheckSuccessor(current.holders(n.cfg.Cell)) != nil:
		return PendingCellNames
	}
	for _, name := range v.MemberNames() {
		if p := n.peers[name]; name != n.cfg.Name && n.checksVersions && (p == nil || p.StatusAt < 0 || p.Status.Version < StatusVersionCells) {
			return PendingUpgrade
		}
	}
	return PlanActive
}

// isValidSuccessor tells whether an Allocation that is proposed may follow on the one held, as far as this voter can know.
func (n *Node) isValidSuccessor(next *Allocation) bool {
	current, plan := n.view.Allocation, n.cfg.Plan
	known := next != nil && plan != nil && plan.Number == next.Plan && plan.Hash() == next.PlanHash
	switch {
	case n.view.Epoch == 0:
		return (next != nil) == n.bootstrappedByPlan && (!known || next.equal(bootstrapAllocation(plan, n.cfg.Cell, next.LeaseMillis)))
	case current.equal(next):
		return true
	case next == nil || current != nil && next.LeaseMillis != current.LeaseMillis || current == nil && next.LeaseMillis != 0:
		return false
	case next.Plan == current.plan():
		return next.Activated && !current.Activated && next.PlanHash == current.PlanHash && n.allCellsJoined(next.Plan) &&
			(n.planOfView() == nil || next.equal(current.activated(n.planOfView(), n.cfg.Cell)))
	case next.Plan != current.successor() && n.inSequence || next.Plan < current.successor():
		return false
	}
	return !next.Activated && (next.atMost(current) || !n.jointPlans) && (current == nil || current.Activated || n.allCellsJoined(current.Plan)) &&
		!slices.ContainsFunc(current.holders(n.cfg.Cell), func(cell string) bool { return !slices.Contains(next.Cells, cell) })
}

// onPlanActivated takes in that all cells have entered the plan of the view. Word of a plan with another table is not of this one.
func (n *Node) onPlanActivated(e PlanActivated) {
	if a := n.view.Allocation; a != nil && e.Plan == a.Plan && e.Hash == a.PlanHash {
		n.activatedPlan = max(n.activatedPlan, e.Plan)
	}
}

// noteJoinedPlan notes from when on nobody in the cell acts by a plan before the view's.
func (n *Node) noteJoinedPlan() {
	if _, quiet := n.AdoptedPlan(); quiet {
		n.joinedPlan = max(n.joinedPlan, n.view.Allocation.plan())
	}
}

// AdoptedPlan is the plan of the view held, 0 for none, and whether nobody in the cell can act by an earlier one any more.
func (n *Node) AdoptedPlan() (plan uint64, quiet bool) {
	if n.view.Allocation == nil {
		return 0, false
	}
	return n.view.Allocation.Plan, n.now >= n.planAdoptedAt+n.earlierViewsExpireAfter() || !n.awaitsEarlierViews
}

// JoinedPlan is the newest plan of which this relay knows, in this life, that nobody in the cell acts by an earlier one; 0 for none.
// Once true it stays true, so it may come late, doubled or out of order.
func (n *Node) JoinedPlan() uint64 { return n.joinedPlan }

// ActivatedPlan is the newest plan that all its cells are known to have entered, 0 for none.
func (n *Node) ActivatedPlan() uint64 { return n.activatedPlan }

// PlanPending is what the plan of the file, or of the view, waits for.
func (n *Node) PlanPending() PlanPendingReason {
	_, wait := n.nextAllocation()
	return wait
}

// adoptAllocation notes that a view with this Allocation is taken up.
func (n *Node) adoptAllocation(next *Allocation) {
	current := n.view.Allocation
	if next.plan() > current.plan() {
		n.planAdoptedAt = n.now
	}
	if next == nil || next.equal(current) {
		return
	}
	if next.Activated {
		n.activatedPlan = max(n.activatedPlan, next.Plan)
	}
	n.emit(Changed{Kind: ChangePlan, State: next.summary()})
}

// restoresAllocation tells whether a view is the one held, which an older program has kept without its Allocation.
func (n *Node) restoresAllocation(v *View) bool {
	return v != nil && n.cfg.Plan != nil && v.Epoch > 0 && v.Epoch == n.view.Epoch && v.Allocation != nil && n.view.Allocation == nil
}

// leaseScale is how much longer leases are in this chain than in a flat fleet.
func (n *Node) leaseScale() float64 {
	if a := n.view.Allocation; a != nil && a.LeaseMillis > 0 {
		return float64(a.LeaseMillis) / leaseMillis
	}
	return 1
}

// earlierViewsExpireAfter is how long after a view's adoption nobody acts by an earlier one any more.
func (n *Node) earlierViewsExpireAfter() time.Duration {
	return duration.Scale(n.waitOut, n.leaseScale())
}

// statusVersion is that of the statuses that this relay tells: an older program than 2 knows of no Allocation.
func (n *Node) statusVersion() int {
	if n.cfg.Plan != nil || n.view.Allocation != nil {
		return StatusVersionCells
	}
	return StatusVersion
}

// isEligible tells whether a relay that tells such a status may be taken into a view.
func (n *Node) isEligible(s Status) bool {
	return !n.bootstrappedByPlan && n.view.Allocation == nil || s.Version >= StatusVersionCells || !n.checksVersions
}

// statusActivatedPlan is what a status tells of opened plans; nothing without cells.
func (n *Node) statusActivatedPlan() uint64 {
	if n.view.Allocation == nil {
		return 0
	}
	return n.activatedPlan
}
