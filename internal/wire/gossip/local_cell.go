package gossip

import (
	"slices"
	"time"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
)

// localCell is what this relay knows of its own cell; nothing before there is a view.
func (n *Node) localCell(l *cellLink, now time.Duration) (local cells.LocalCell, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.membership.View()
	if view.Epoch == 0 {
		return local, false
	}
	peers := map[string]membership.Peer{}
	for _, p := range n.membership.Peers() {
		peers[p.Name] = p
	}
	local = cells.LocalCell{Epoch: view.Epoch, JoinedPlan: n.membership.JoinedPlan(), RequestRate: n.local.RequestRate, OpenConnections: n.local.OpenConnections, DrainRate: n.local.DrainRate}
	if a := view.Allocation; a != nil {
		local.Plan, local.PlanHash, local.Cells, local.Bootstrapped = a.Plan, a.PlanHash, a.Cells, a.Bootstrapped
	}
	for _, name := range view.MemberNames() {
		local.Members++
		p := peers[name]
		if name == n.cfg.Name && n.local.Lifecycle == membership.Serving || name != n.cfg.Name && p.Status.Lifecycle == membership.Serving {
			local.Serving++
		}
		if name != n.cfg.Name && alive(p.Health) {
			local.RequestRate += p.Status.RequestRate
			local.OpenConnections += p.Status.OpenConnections
			local.DrainRate += p.Status.DrainRate
		}
	}
	for _, name := range view.Voters {
		local.Voters = append(local.Voters, cells.Voter{Name: name, Address: n.address(name), Alive: name == n.cfg.Name || alive(peers[name].Health)})
	}
	for name, d := range l.departed {
		if now-d.at > departureRetention {
			delete(l.departed, name)
			continue
		}
		local.Departed = append(local.Departed, name)
	}
	slices.Sort(local.Departed)
	return local, true
}

// alive tells whether a relay counts as there: a suspicion may yet be refuted.
func alive(h membership.Health) bool { return h == membership.Alive || h == membership.Suspected }

// address is where a relay of this cell is heard, "" if that isn't known.
func (n *Node) address(name string) string {
	if name == n.cfg.Name {
		if n.cfg.Advertise != "" {
			return n.cfg.Advertise
		}
		return n.cfg.Bind
	}
	n.peers.Lock()
	defer n.peers.Unlock()
	if m := n.peers.nodes[name]; m != nil {
		return m.Address()
	}
	return ""
}

// updateOtherCells hands on what is known of the other cells.
func (n *Node) updateOtherCells(l *cellLink) {
	n.mu.Lock()
	others := l.coordinator.Others(n.cellTime(n.now()))
	opened := l.coordinator.ActivatedPlan()
	allocation := n.membership.View().Allocation
	n.mu.Unlock()
	n.handle(membership.OtherCells{Relays: others.Relays, RequestRate: others.RequestRate, OpenConnections: others.OpenConnections, DrainRate: others.DrainRate, Known: l.othersKnown})
	if allocation != nil && !allocation.Activated && opened >= allocation.Plan {
		n.handle(membership.PlanActivated{Plan: allocation.Plan, Hash: allocation.PlanHash})
	}
}
