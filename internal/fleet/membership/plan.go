package membership

import (
	"slices"
	"time"
)

// nextAllocation is the Allocation that the next view is to have, and what the file's plan waits for.
func (n *Node) nextAllocation() (*Allocation, PlanPendingReason) {
	current, plan := n.view.Allocation, n.plans.file
	if n.view.Epoch == 0 {
		if !n.plans.bootstrapped {
			return nil, PendingView
		}
		return bootstrapAllocation(plan, n.plans.cell, n.bootstrapLeaseMillis()), PendingView
	}
	if current != nil && !current.Activated && n.allCellsJoined(current.Plan) {
		if table := n.plans.table(current); table != nil {
			return current.activated(table, n.plans.cell), PlanActive
		}
	}
	if plan == nil || plan.Number <= current.plan() {
		return current, n.activationPending()
	}
	if reason := n.joinPending(); reason != PlanActive {
		return current, reason
	}
	next := current.joined(plan, n.plans.cell)
	if !n.safeguards.jointPlans {
		next.NearBudget, next.FarBudget, next.NearZones = plan.BudgetShares(n.plans.cell)
	}
	return next, PendingCells
}

// activationPending is what the activation of the view's plan waits for.
func (n *Node) activationPending() PlanPendingReason {
	current := n.view.Allocation
	switch {
	case current == nil || current.Activated:
		return PlanActive
	case n.allCellsJoined(current.Plan):
		return PendingTable
	}
	return PendingCells
}

// joinPending is what joining the file's plan waits for; the plan's number is over the present one's.
func (n *Node) joinPending() PlanPendingReason {
	current, plan := n.view.Allocation, n.plans.file
	switch {
	case plan.Number != current.successor() && n.safeguards.inSequence:
		return PendingSequence
	case !n.mayBeSucceeded(current):
		return PendingActivation
	case len(n.view.UnreleasedSlots) > 0:
		return PendingSlots
	case plan.CheckSuccessor(current.holders(n.plans.cell)) != nil:
		return PendingCellNames
	case n.safeguards.checksVersions && slices.ContainsFunc(n.view.MemberNames(), n.knowsNoPlans):
		return PendingUpgrade
	}
	return PlanActive
}

// mayBeSucceeded tells whether a plan may follow on that of an Allocation: all cells have joined it.
func (n *Node) mayBeSucceeded(a *Allocation) bool {
	return a == nil || a.Activated || n.allCellsJoined(a.Plan)
}

// knowsNoPlans tells whether another relay has not shown that its program knows plans.
func (n *Node) knowsNoPlans(name string) bool {
	p := n.peers.byName[name]
	return name != n.cfg.Name && (!p.hasStatus() || p.Status.Version < StatusVersionCells)
}

// allCellsJoined tells whether every cell of a plan is known to have joined it, and to act by no earlier one.
func (n *Node) allCellsJoined(plan uint64) bool {
	return n.plans.activated >= plan || !n.safeguards.awaitsCells
}

// isValidSuccessor tells whether an Allocation that is proposed may follow on the one held, as far as
// this voter can know.
func (n *Node) isValidSuccessor(next *Allocation) bool {
	current := n.view.Allocation
	switch {
	case n.view.Epoch == 0:
		return n.isValidBootstrap(next)
	case current.equal(next):
		return true
	case next == nil || next.LeaseMillis != current.leaseMillis():
		return false
	case next.Plan == current.plan():
		return n.isValidActivation(next)
	case next.Plan < current.successor() || next.Plan > current.successor() && n.safeguards.inSequence:
		return false
	}
	return n.isValidJoin(next)
}

// isValidBootstrap tells whether an Allocation may be that of the first view.
func (n *Node) isValidBootstrap(first *Allocation) bool {
	if (first != nil) != n.plans.bootstrapped {
		return false
	}
	if first == nil || !first.isBy(n.plans.file) {
		return true // nothing is known of its plan here
	}
	return first.equal(bootstrapAllocation(n.plans.file, n.plans.cell, first.LeaseMillis))
}

// isValidActivation tells whether an Allocation by the plan of the view held may activate that.
func (n *Node) isValidActivation(next *Allocation) bool {
	current := n.view.Allocation
	activates := next.Activated && !current.Activated && next.PlanHash == current.PlanHash
	if !activates || !n.allCellsJoined(next.Plan) {
		return false
	}
	table := n.plans.table(current)
	return table == nil || next.equal(current.activated(table, n.plans.cell))
}

// isValidJoin tells whether an Allocation may be that by which the cell joins the plan that follows.
func (n *Node) isValidJoin(next *Allocation) bool {
	current := n.view.Allocation
	switch {
	case next.Activated || !n.mayBeSucceeded(current):
		return false
	case n.safeguards.jointPlans && !next.atMost(current):
		return false
	}
	leftOut := func(cell string) bool { return !slices.Contains(next.Cells, cell) }
	return !slices.ContainsFunc(current.holders(n.plans.cell), leftOut)
}

// onPlanActivated takes in that all cells have joined the plan of the view. For a plan with another table it
// does not count.
func (n *Node) onPlanActivated(e PlanActivated) {
	if a := n.view.Allocation; a != nil && e.Plan == a.Plan && e.Hash == a.PlanHash {
		n.plans.noteActivated(e.Plan)
	}
}

// noteJoinedPlan notes from when on nobody in the cell acts by a plan before the view's.
func (n *Node) noteJoinedPlan() {
	if plan, joined := n.AdoptedPlan(); joined {
		n.plans.noteJoined(plan)
	}
}

// AdoptedPlan is the plan of the view held, 0 for none, and whether nobody in the cell can act by an
// earlier one any more.
func (n *Node) AdoptedPlan() (plan uint64, joined bool) {
	if n.view.Allocation == nil {
		return 0, false
	}
	expired := n.now >= n.plans.adoptedAt+n.earlierViewsExpireAfter()
	return n.view.Allocation.Plan, expired || !n.safeguards.awaitsEarlierViews
}

// JoinedPlan is the newest plan of which this process knows that nobody in the cell acts by an earlier
// one; 0 for none. Once true it stays true, so it may come late, doubled or out of order.
func (n *Node) JoinedPlan() uint64 { return n.plans.joined }

// ActivatedPlan is the newest plan that all its cells are known to have joined, 0 for none.
func (n *Node) ActivatedPlan() uint64 { return n.plans.activated }

// PlanPending is what the plan of the file, or of the view, waits for.
func (n *Node) PlanPending() PlanPendingReason {
	_, reason := n.nextAllocation()
	return reason
}

// adoptAllocation notes that a view with this Allocation is taken up.
func (n *Node) adoptAllocation(next *Allocation) {
	current := n.view.Allocation
	if next.plan() > current.plan() {
		n.plans.adoptedAt = n.now
	}
	if next == nil || next.equal(current) {
		return
	}
	if next.Activated {
		n.plans.noteActivated(next.Plan)
	}
	n.emit(StateChanged{Kind: ChangePlan, State: next.summary()})
}

// restoresAllocation tells whether a view is the one held, which an older program has kept without its
// Allocation.
func (n *Node) restoresAllocation(v *View) bool {
	return v != nil && v.Epoch > 0 && v.Epoch == n.view.Epoch &&
		n.plans.file != nil && v.Allocation != nil && n.view.Allocation == nil
}

// bootstrapLeaseMillis is the time of a lease in the chain that this relay bootstraps, 0 for the flat
// fleet's.
func (n *Node) bootstrapLeaseMillis() uint32 {
	if n.cfg.Timing.LeaseDuration == LeaseDuration {
		return 0
	}
	return uint32(n.cfg.Timing.LeaseDuration / time.Millisecond)
}

// isEligible tells whether a relay that tells such a status may be taken into a view: in a cell its
// program has to know plans.
func (n *Node) isEligible(s Status) bool {
	inCell := n.plans.bootstrapped || n.view.Allocation != nil
	return !inCell || s.Version >= StatusVersionCells || !n.safeguards.checksVersions
}
