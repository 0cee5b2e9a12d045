package gossip

import (
	"slices"
	"time"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
)

// localCell returns what this relay knows of its own cell; known is false until there is a view.
func (n *Node) localCell(driver *cellDriver, now time.Duration) (local cells.LocalCell, known bool) {
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
		RequestRate:     n.lastLocalState.RequestRate,
		OpenConnections: n.lastLocalState.OpenConnections,
		DrainRate:       n.lastLocalState.DrainRate,
	}
	if a := view.Allocation; a != nil {
		local.Plan, local.PlanHash = a.Plan, a.PlanHash
		local.RequiredCells, local.Bootstrapped = a.Cells, a.Bootstrapped
	}
	for _, name := range view.MemberNames() {
		n.addMemberFigures(&local, name, peers[name])
	}
	for _, name := range view.Voters {
		local.Voters = append(local.Voters, cells.Voter{
			Name:    name,
			Address: n.relayAddress(name),
			Alive:   name == n.cfg.Name || countsAsAlive(peers[name].Health),
		})
	}
	local.DepartedRelays = driver.recentDepartures(now)
	return local, true
}

// addMemberFigures adds a member's figures to those of its cell. Those of this relay are included already,
// except for the counts of members and of serving relays.
func (n *Node) addMemberFigures(local *cells.LocalCell, name string, peer membership.Peer) {
	local.Members++
	if name == n.cfg.Name {
		if n.lastLocalState.Lifecycle == membership.LifecycleServing {
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

// recentDepartures returns the names, in order, of the relays that have left or failed within
// departureRetention. It deletes older departures.
func (l *cellDriver) recentDepartures(now time.Duration) (names []string) {
	for name, departed := range l.departures {
		if now-departed.at > departureRetention {
			delete(l.departures, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// countsAsAlive reports whether a relay is counted as alive. A suspected relay is, as it may still refute the
// suspicion.
func countsAsAlive(health membership.Health) bool {
	return health == membership.HealthAlive || health == membership.HealthSuspected
}

// relayAddress returns the gossip address of a relay of this cell, "" if it is not known.
func (n *Node) relayAddress(name string) string {
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
