package membership

import "time"

// FleetEstimate is what this relay knows of the fleet and may take of its budgets now.
type FleetEstimate struct {
	Phase            Phase
	Epoch            uint64
	Relays           int           // that are there, this one too
	BudgetShare      float64       // of a fleet-wide budget, 0 to 1; where there are cells, of servers in NearZones
	ShareValidUntil  time.Duration // when the share expires unless it is renewed; far ahead if it needs none
	OtherRequestRate float64       // requests a second that the others see; negative where it is not known
	OwnRequestRate   float64       // that this relay sees
	OtherConnections int           // connections that the others hold; negative where it is not known
	DrainRate        float64       // connections a second that others send away, as they drain or leave
	ShareReason      string        // the share
	// FarShare is the share of the budget of servers outside NearZones; without cells it is Share, and NearZones nil: everywhere.
	FarBudgetShare float64
	NearZones      []string
	Plan           uint64 // that the cell acts by, 0 without cells
	PlanActivated  bool
}

// Estimate returns the FleetEstimate of the moment. The share is to be asked for, or held against Until, right before each use.
func (n *Node) Estimate(now time.Duration) FleetEstimate {
	now = max(now, n.now)
	r := FleetEstimate{Phase: n.phases.phase, Epoch: n.view.Epoch, Relays: max(n.cfg.ConfiguredRelays, 1), OtherRequestRate: -1, OwnRequestRate: n.local.RequestRate, OtherConnections: -1}
	r.BudgetShare, r.ShareValidUntil, r.ShareReason = n.budgetShare(now)
	r.FarBudgetShare = r.BudgetShare
	if a := n.view.Allocation; a != nil {
		r.BudgetShare, r.FarBudgetShare = a.budgetShares(r.BudgetShare)
		r.NearZones, r.Plan, r.PlanActivated = a.NearZones, a.Plan, a.Activated
	}
	if n.view.Epoch == 0 {
		return r
	}
	r.Relays, r.OtherRequestRate, r.OtherConnections = 0, 0, 0
	for _, s := range n.view.Entries {
		if !s.In {
			continue
		}
		r.Relays++
		p := n.peers.byName[s.Name]
		if s.Name == n.cfg.Name || p == nil || p.StatusAt < 0 || p.Health != Alive && p.Health != Suspected && n.phases.phase != PhaseCutOff {
			continue
		}
		if p.Status.Lifecycle == Serving {
			r.OtherRequestRate += p.Status.RequestRate
		}
		r.OtherConnections += p.Status.OpenConnections
	}
	r.Relays = max(r.Relays, 1)
	for _, p := range n.peers.sorted {
		if p.Status.Lifecycle >= Draining && now-p.StatusAt < drainStatusValidFor {
			r.DrainRate += p.Status.DrainRate
		}
	}
	if n.view.Allocation != nil {
		n.addOtherCells(&r)
	}
	return r
}

// addOtherCells adds what the other cells do, as last heard.
func (n *Node) addOtherCells(r *FleetEstimate) {
	if o := n.plans.otherCells; o.Known {
		r.Relays, r.OtherRequestRate, r.OtherConnections, r.DrainRate = r.Relays+o.Relays, r.OtherRequestRate+o.RequestRate, r.OtherConnections+o.OpenConnections, r.DrainRate+o.DrainRate
		return
	}
	r.Relays, r.OtherRequestRate, r.OtherConnections = max(r.Relays, n.cfg.ConfiguredRelays), -1, -1
}
