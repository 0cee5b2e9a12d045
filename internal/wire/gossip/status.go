package gossip

import (
	"time"

	"capersail/decide"
	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
)

// LockStatus returns the fleet's status for the decision module, with times by the caller's clock. The status
// does not change until UnlockStatus is called.
func (n *Node) LockStatus(now time.Duration) decide.FleetStatus {
	n.mu.Lock()
	own := n.now()
	return relay.ToFleetStatus(now, own, n.membership.Estimate(own), n.cfg.zoneNumber)
}

// UnlockStatus releases the lock that LockStatus took.
func (n *Node) UnlockStatus() { n.mu.Unlock() }

// FleetEstimate returns this relay's current estimate of the fleet and its budget shares.
func (n *Node) FleetEstimate() membership.FleetEstimate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Estimate(n.now())
}

// Report returns what this relay knows of the fleet, for operators.
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

// Traffic returns the bytes of packets that this relay has sent and received.
func (n *Node) Traffic() (out, in uint64) {
	return n.gossip.traffic.bytesOut.Load(), n.gossip.traffic.bytesIn.Load()
}
