package membership

import "time"

// FleetEstimate is what this relay knows of the fleet, and what it may take of the fleet's budgets now.
type FleetEstimate struct {
	Phase  Phase
	Epoch  uint64 // of the view held
	Relays int    // how many relays there are, this one included
	// BudgetShare is this relay's part of a fleet-wide budget, 0 to 1. In a fleet of cells it applies to
	// servers in NearZones.
	BudgetShare float64
	// FarBudgetShare is this relay's part of the budget of a server outside NearZones. Without cells it
	// equals BudgetShare.
	FarBudgetShare float64
	NearZones      []string // nil without cells: all zones are near
	// ShareValidUntil is when the shares expire unless they are renewed, or duration.DistantFuture if they
	// need no renewal.
	ShareValidUntil  time.Duration
	ShareReason      string
	OwnRequestRate   float64 // requests per second at this relay
	OtherRequestRate float64 // requests per second at all other relays; negative if not known
	OtherConnections int     // open connections at all other relays; negative if not known
	DrainRate        float64 // connections per second that other relays close while they drain or leave
	Plan             uint64  // the plan that the cell acts by, 0 without cells
	PlanActivated    bool
}

// Estimate returns the FleetEstimate at a time. The caller must ask for the shares, or compare the time with
// ShareValidUntil, right before each use.
func (n *Node) Estimate(now time.Duration) FleetEstimate {
	now = max(now, n.now)
	e := FleetEstimate{
		Phase:            n.phases.phase,
		Epoch:            n.view.Epoch,
		Relays:           max(n.cfg.ConfiguredRelays, 1),
		OwnRequestRate:   n.localState.RequestRate,
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
	n.addMemberLoad(&e)
	n.addDrainRates(&e, now)
	if n.view.Allocation != nil {
		n.addOtherCellLoad(&e)
	}
	return e
}

// addMemberLoad counts the members and adds up their load.
func (n *Node) addMemberLoad(e *FleetEstimate) {
	e.Relays, e.OtherRequestRate, e.OtherConnections = 0, 0, 0
	for _, m := range n.view.Entries {
		if !m.IsMember {
			continue
		}
		e.Relays++
		if m.Name == n.cfg.Name || !n.countsLoadOf(n.peers.byName[m.Name]) {
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

// countsLoadOf reports whether the load in a member's last status counts. That of a member that is not alive
// counts only while this relay is cut off, as it cannot know then whether the member still runs.
func (n *Node) countsLoadOf(p *Peer) bool {
	return p.hasStatus() && (n.peers.isAlive(p.Name) || n.phases.phase == PhaseCutOff)
}

// addDrainRates adds the connections per second that draining relays close, members or not.
func (n *Node) addDrainRates(e *FleetEstimate, now time.Duration) {
	for _, p := range n.peers.sorted {
		if p.Status.Lifecycle >= LifecycleDraining && now-p.StatusAt < drainStatusValidFor {
			e.DrainRate += p.Status.DrainRate
		}
	}
}

// addOtherCellLoad adds the load of the other cells by their last summaries. Until a summary has arrived the
// configured number of relays is used, and the load of other relays is not known.
func (n *Node) addOtherCellLoad(e *FleetEstimate) {
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
