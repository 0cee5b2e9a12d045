package gossip

import (
	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/relay"
)

// LockStatus returns what the module is to reckon with at the moment, by the caller's clock, and keeps it so until Release.
func (n *Node) LockStatus(now float64) decide.FleetStatus {
	n.mu.Lock()
	own := n.now()
	return relay.ToFleetStatus(duration.FromMillis(now), own, n.membership.Estimate(own), n.zoneNumber)
}

// UnlockStatus ends a Hold.
func (n *Node) UnlockStatus() { n.mu.Unlock() }

// Estimate is what this relay reckons with now.
func (n *Node) Estimate() membership.FleetEstimate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Estimate(n.now())
}

// Report is what this relay knows of the fleet.
func (n *Node) Report() membership.Report {
	n.mu.Lock()
	r := n.membership.Report(n.now())
	n.mu.Unlock()
	r.Site, r.Dropped = n.cfg.Site, map[string]uint64{}
	for i := range n.dropped.total {
		if c := n.dropped.total[i].Load(); c > 0 {
			r.Dropped[dropReasonNames[i]] = c
		}
	}
	return r
}

// Traffic is what has gone out and come in, in bytes of packets.
func (n *Node) Traffic() (out, in uint64) { return n.traffic.bytesOut.Load(), n.traffic.bytesIn.Load() }
