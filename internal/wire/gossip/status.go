package gossip

import (
	"time"

	"capersail/decide"
	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
)

// LockStatus returns the fleet's status for the decision module, by the caller's clock, and keeps it so
// until UnlockStatus.
func (n *Node) LockStatus(now time.Duration) decide.FleetStatus {
	n.mu.Lock()
	own := n.now()
	return relay.ToFleetStatus(now, own, n.membership.Estimate(own), n.cfg.zoneNumber)
}

// UnlockStatus ends what LockStatus began.
func (n *Node) UnlockStatus() { n.mu.Unlock() }

// FleetEstimate is what this relay takes the fleet for now.
func (n *Node) FleetEstimate() membership.FleetEstimate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Estimate(n.now())
}

// Report is what this relay knows of the fleet.
func (n *Node) Report() membership.Report {
	n.mu.Lock()
	r := n.membership.Report(n.now())
	n.mu.Unlock()
	r.Site, r.DroppedPackets = n.cfg.Site, map[string]uint64{}
	for reason := range dropReasonCount {
		if total := n.dropped.total[reason].Load(); total > 0 {
			r.DroppedPackets[reason.String()] = total
		}
	}
	return r
}

// Traffic is what has gone out and come in, in bytes of packets.
func (n *Node) Traffic() (out, in uint64) {
	return n.mesh.traffic.bytesOut.Load(), n.mesh.traffic.bytesIn.Load()
}
