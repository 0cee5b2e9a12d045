package gossip

import (
	"slices"
	"time"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
)

// localCell is what this relay knows of its own cell; nothing before there is a view.
func (n *Node) localCell(link *cellLink, now time.Duration) (local cells.LocalCell, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.membership.View()
	if view.Epoch == 0 {
		return local, false
	}
	peers := map[string]membership.Peer{}
	for _, peer := range n.membership.Peers() {
		peers[peer.Name] = peer
	}
	local = cells.LocalCell{
		Epoch:           view.Epoch,
		JoinedPlan:      n.membership.JoinedPlan(),
		RequestRate:     n.lastLocal.RequestRate,
		OpenConnections: n.lastLocal.OpenConnections,
		DrainRate:       n.lastLocal.DrainRate,
	}
	if a := view.Allocation; a != nil {
		local.Plan, local.PlanHash = a.Plan, a.PlanHash
		local.RequiredCells, local.Bootstrapped = a.Cells, a.Bootstrapped
	}
	for _, name := range view.MemberNames() {
		n.addMember(&local, name, peers[name])
	}
	for _, name := range view.Voters {
		local.Voters = append(local.Voters, cells.Voter{
			Name:    name,
			Address: n.address(name),
			Alive:   name == n.cfg.Name || countsAsAlive(peers[name].Health),
		})
	}
	local.DepartedRelays = link.recentDepartures(now)
	return local, true
}

// addMember adds a member to the figures of its cell; this relay's own are in them already.
func (n *Node) addMember(local *cells.LocalCell, name string, peer membership.Peer) {
	local.Members++
	if name == n.cfg.Name {
		if n.lastLocal.Lifecycle == membership.LifecycleServing {
			local.ServingMembers++
		}
		return
	}
	if peer.Status.Lifecycle == membership.LifecycleServing {
		local.ServingMembers++
	}
	if countsAsAlive(peer.Health) {
		local.RequestRate += peer.Status.RequestRate
		local.OpenConnections += peer.Status.OpenConnections
		local.DrainRate += peer.Status.DrainRate
	}
}

// recentDepartures are the relays that went a while ago at most, by name. Older ones are forgotten.
func (l *cellLink) recentDepartures(now time.Duration) (names []string) {
	for name, departed := range l.departed {
		if now-departed.at > departureRetention {
			delete(l.departed, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// countsAsAlive tells whether a relay counts as there: a suspicion may yet be refuted.
func countsAsAlive(health membership.Health) bool {
	return health == membership.HealthAlive || health == membership.HealthSuspected
}

// address is where a relay of this cell is heard, "" if that isn't known.
func (n *Node) address(name string) string {
	if name == n.cfg.Name {
		if n.cfg.Advertise != "" {
			return n.cfg.Advertise
		}
		return n.cfg.Bind
	}
	if node := n.peers.node(name); node != nil {
		return node.Address()
	}
	return ""
}
