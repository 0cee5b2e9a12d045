package membership

import (
	"slices"
	"time"
)

// nextAllocation returns the Allocation that the next view is to have, and what the plan of the members file
// waits for.
func (n *Node) nextAllocation() (*Allocation, PlanPendingReason) {
	current, plan := n.view.Allocation, n.plans.filePlan
	if n.view.Epoch == 0 {
		if !n.plans.bootstrappedByPlan {
			return nil, PendingView
		}
		return bootstrapAllocation(plan, n.plans.cell, n.bootstrapLeaseMillis()), PendingView
	}
	if current != nil && !current.Activated && n.allCellsJoined(current.Plan) {
		if heldPlan := n.plans.planOf(current); heldPlan != nil {
			return current.afterActivation(heldPlan, n.plans.cell), PlanActive
		}
	}
	if plan == nil || plan.Number <= current.planNumber() {
		return current, n.activationPendingReason()
	}
	if reason := n.joinPendingReason(); reason != PlanActive {
		return current, reason
	}
	next := current.afterJoining(plan, n.plans.cell)
	if !n.safeguards.jointPlans {
		next.NearBudget, next.FarBudget, next.NearZones = plan.BudgetShares(n.plans.cell)
	}
	return next, PendingCells
}

// activationPendingReason returns what the activation of the view's plan waits for.
func (n *Node) activationPendingReason() PlanPendingReason {
	current := n.view.Allocation
	switch {
	case current == nil || current.Activated:
		return PlanActive
	case n.allCellsJoined(current.Plan):
		return PendingPlanFile
	}
	return PendingCells
}

// joinPendingReason returns what joining the plan of the members file waits for. The number of that plan is
// higher than that of the view's plan.
func (n *Node) joinPendingReason() PlanPendingReason {
	current, plan := n.view.Allocation, n.plans.filePlan
	switch {
	case plan.Number != current.successorPlan() && n.safeguards.plansInSequence:
		return PendingSequence
	case !n.mayBeSucceeded(current):
		return PendingActivation
	case len(n.view.UnreleasedSlots) > 0:
		return PendingSlots
	case plan.CheckSuccessor(current.holderCells(n.plans.cell)) != nil:
		return PendingCellNames
	case n.safeguards.checksVersions && slices.ContainsFunc(n.view.MemberNames(), n.knowsNoPlans):
		return PendingUpgrade
	}
	return PlanActive
}

// mayBeSucceeded reports whether another plan may follow that of an Allocation: all cells have joined it.
func (n *Node) mayBeSucceeded(a *Allocation) bool {
	return a == nil || a.Activated || n.allCellsJoined(a.Plan)
}

// knowsNoPlans reports whether another relay has not shown that its program knows plans.
func (n *Node) knowsNoPlans(name string) bool {
	p := n.peers.byName[name]
	return name != n.cfg.Name && (!p.hasStatus() || p.Status.Version < StatusVersionCells)
}

// allCellsJoined reports whether every cell of a plan is known to have joined it, and to act by no earlier
// plan.
func (n *Node) allCellsJoined(plan uint64) bool {
	return n.plans.activatedPlan >= plan || !n.safeguards.awaitsCells
}

// isValidSuccessor reports whether a proposed Allocation may follow the one held, as far as this voter can
// know.
func (n *Node) isValidSuccessor(next *Allocation) bool {
	current := n.view.Allocation
	switch {
	case n.view.Epoch == 0:
		return n.isValidBootstrap(next)
	case current.equal(next):
		return true
	case next == nil || next.LeaseMillis != current.leaseMillis():
		return false
	case next.Plan == current.planNumber():
		return n.isValidActivation(next)
	case next.Plan < current.successorPlan() ||
		next.Plan > current.successorPlan() && n.safeguards.plansInSequence:
		return false
	}
	return n.isValidJoin(next)
}

// isValidBootstrap reports whether an Allocation may be that of the first view.
func (n *Node) isValidBootstrap(first *Allocation) bool {
	if (first != nil) != n.plans.bootstrappedByPlan {
		return false
	}
	if first == nil || !first.matchesPlan(n.plans.filePlan) {
		return true // this relay does not know the plan
	}
	return first.equal(bootstrapAllocation(n.plans.filePlan, n.plans.cell, first.LeaseMillis))
}

// isValidActivation reports whether an Allocation by the plan of the view held may activate that plan.
func (n *Node) isValidActivation(next *Allocation) bool {
	current := n.view.Allocation
	activates := next.Activated && !current.Activated && next.PlanHash == current.PlanHash
	if !activates || !n.allCellsJoined(next.Plan) {
		return false
	}
	heldPlan := n.plans.planOf(current)
	return heldPlan == nil || next.equal(current.afterActivation(heldPlan, n.plans.cell))
}

// isValidJoin reports whether a cell may join the next plan by an Allocation.
func (n *Node) isValidJoin(next *Allocation) bool {
	current := n.view.Allocation
	switch {
	case next.Activated || !n.mayBeSucceeded(current):
		return false
	case n.safeguards.jointPlans && !next.isAtMost(current):
		return false
	}
	leftOut := func(cell string) bool { return !slices.Contains(next.Cells, cell) }
	return !slices.ContainsFunc(current.holderCells(n.plans.cell), leftOut)
}

// onPlanActivated records that all cells have joined the view's plan. An event for a plan with another hash
// is ignored.
func (n *Node) onPlanActivated(e PlanActivated) {
	if a := n.view.Allocation; a != nil && e.Plan == a.Plan && e.Hash == a.PlanHash {
		n.plans.noteActivated(e.Plan)
	}
}

// noteJoinedPlan records the view's plan as joined once no relay in the cell acts by an earlier plan.
func (n *Node) noteJoinedPlan() {
	if plan, joined := n.AdoptedPlan(); joined {
		n.plans.noteJoined(plan)
	}
}

// AdoptedPlan returns the plan of the view held, 0 for none. joined reports whether no relay in the cell can
// act by an earlier plan any more.
func (n *Node) AdoptedPlan() (plan uint64, joined bool) {
	if n.view.Allocation == nil {
		return 0, false
	}
	expired := n.now >= n.plans.adoptedAt+n.earlierViewsExpireAfter()
	return n.view.Allocation.Plan, expired || !n.safeguards.awaitsEarlierViews
}

// JoinedPlan returns the newest plan of which this process knows that no relay in the cell acts by an earlier
// one, 0 for none. It never falls, so a report of it may arrive late, twice or out of order.
func (n *Node) JoinedPlan() uint64 { return n.plans.joinedPlan }

// ActivatedPlan returns the newest plan that all its cells are known to have joined, 0 for none.
func (n *Node) ActivatedPlan() uint64 { return n.plans.activatedPlan }

// PlanPending returns what the plan of the members file, or that of the view, waits for.
func (n *Node) PlanPending() PlanPendingReason {
	_, reason := n.nextAllocation()
	return reason
}

// noteAllocation records that a view with an Allocation is about to be adopted, and reports a new one for the
// log.
func (n *Node) noteAllocation(next *Allocation) {
	current := n.view.Allocation
	if next.planNumber() > current.planNumber() {
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

// restoresAllocation reports whether a view is the one held, of which an older program has stored a copy
// without its Allocation.
func (n *Node) restoresAllocation(v *View) bool {
	return v != nil && v.Epoch > 0 && v.Epoch == n.view.Epoch &&
		n.plans.filePlan != nil && v.Allocation != nil && n.view.Allocation == nil
}

// bootstrapLeaseMillis returns the lease duration of the chain that this relay bootstraps, 0 for that of a
// flat fleet.
func (n *Node) bootstrapLeaseMillis() uint32 {
	if n.cfg.Timing.LeaseDuration == LeaseDuration {
		return 0
	}
	return uint32(n.cfg.Timing.LeaseDuration / time.Millisecond)
}

// isEligible reports whether a relay with a status may be taken into a view: in a cell its program must know
// plans.
func (n *Node) isEligible(s Status) bool {
	inCell := n.plans.bootstrappedByPlan || n.view.Allocation != nil
	return !inCell || s.Version >= StatusVersionCells || !n.safeguards.checksVersions
}
