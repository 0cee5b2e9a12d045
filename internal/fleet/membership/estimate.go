package membership

import "time"

// FleetEstimate is what this relay knows of the fleet and may take of its budgets now.
type FleetEstimate struct {
	Phase  Phase
	Epoch  uint64 // of the view held
	Relays int    // that are there, this one too
	// BudgetShare is this relay's part of a fleet-wide budget, 0 to 1; where there are cells, of the
	// budget of a server in NearZones.
	BudgetShare float64
	// FarBudgetShare is its part of the budget of a server outside NearZones. Without cells it is
	// BudgetShare.
	FarBudgetShare float64
	NearZones      []string // nil without cells: everywhere
	// ShareValidUntil is when the shares expire unless they are renewed; duration.DistantFuture if they need
	// no renewal.
	ShareValidUntil  time.Duration
	ShareReason      string
	OwnRequestRate   float64 // requests a second that this relay sees
	OtherRequestRate float64 // requests a second that the others see; negative where it is not known
	OtherConnections int     // open connections at the others; negative where it is not known
	DrainRate        float64 // connections a second that others send away, as they drain or leave
	Plan             uint64  // that the cell acts by, 0 without cells
	PlanActivated    bool
}

// Estimate returns the FleetEstimate of the moment. The shares are to be asked for, or held against
// ShareValidUntil, right before each use.
func (n *Node) Estimate(now time.Duration) FleetEstimate {
	now = max(now, n.now)
	e := FleetEstimate{
		Phase:            n.phases.phase,
		Epoch:            n.view.Epoch,
		Relays:           max(n.cfg.ConfiguredRelays, 1),
		OwnRequestRate:   n.local.RequestRate,
		OtherRequestRate: -1,
		OtherConnections: -1,
	}
	e.BudgetShare, e.ShareValidUntil, e.ShareReason = n.budgetShare(now)
	e.FarBudgetShare = e.BudgetShare
	if a := n.view.Allocation; a != nil {
		e.BudgetShare, e.FarBudgetShare = a.budgetShares(e.BudgetShare)
		e.NearZones, e.Plan, e.PlanActivated = a.NearZones, a.Plan, a.Activated
	}
	if n.view.Epoch == 0 {
		return e
	}
	n.addMembers(&e)
	n.addDrains(&e, now)
	if n.view.Allocation != nil {
		n.addOtherCells(&e)
	}
	return e
}

// addMembers counts the members, and adds up what they do.
func (n *Node) addMembers(e *FleetEstimate) {
	e.Relays, e.OtherRequestRate, e.OtherConnections = 0, 0, 0
	for _, m := range n.view.Entries {
		if !m.IsMember {
			continue
		}
		e.Relays++
		if m.Name == n.cfg.Name || !n.countsFigures(n.peers.byName[m.Name]) {
			continue
		}
		status := n.peers.byName[m.Name].Status
		if status.Lifecycle == LifecycleServing {
			e.OtherRequestRate += status.RequestRate
		}
		e.OtherConnections += status.OpenConnections
	}
	e.Relays = max(e.Relays, 1)
}

// countsFigures tells whether a member's figures count: those of one that is not alive only while this
// relay is cut off, as it cannot tell then.
func (n *Node) countsFigures(p *Peer) bool {
	return p.hasStatus() && (n.peers.isAlive(p.Name) || n.phases.phase == PhaseCutOff)
}

// addDrains adds the connections that drains send away, members' or not.
func (n *Node) addDrains(e *FleetEstimate, now time.Duration) {
	for _, p := range n.peers.sorted {
		if p.Status.Lifecycle >= LifecycleDraining && now-p.StatusAt < drainStatusValidFor {
			e.DrainRate += p.Status.DrainRate
		}
	}
}

// addOtherCells adds what the other cells do, by their last summaries. Until there is any the configured
// number of relays holds, and nothing is known of what they do.
func (n *Node) addOtherCells(e *FleetEstimate) {
	others := n.plans.otherCells
	if !others.Known {
		e.Relays = max(e.Relays, n.cfg.ConfiguredRelays)
		e.OtherRequestRate, e.OtherConnections = -1, -1
		return
	}
	e.Relays += others.Relays
	e.OtherRequestRate += others.RequestRate
	e.OtherConnections += others.OpenConnections
	e.DrainRate += others.DrainRate
}
