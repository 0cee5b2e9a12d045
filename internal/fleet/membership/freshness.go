package membership

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// staleListGrace is how long a peer may have a newer endpoint list before this relay polls for it at
	// once.
	staleListGrace = 2 * time.Second
	// catchUpInterval is the least time between two requests for a newer view.
	catchUpInterval = 400 * time.Millisecond
)

// freshness keeps the pace of asking for what peers are known to have newer.
type freshness struct {
	nextCatchUpAt time.Duration // not before this is a view asked for
	refreshListAt time.Duration // from when on a newer endpoint list at a peer is polled for
}

// refreshEndpointList wants the endpoint list polled at once when a peer has had a newer one for a
// while: a watch event reaches all within moments, unless this relay's watch has gone silent.
func (n *Node) refreshEndpointList() {
	newest := int64(0)
	for _, p := range n.peers.sorted {
		if p.hasStatus() && p.Health == HealthAlive {
			newest = max(newest, p.Status.EndpointListGeneration)
		}
	}
	own := n.local.EndpointListGeneration
	switch {
	case newest <= own || own == 0:
		n.freshness.refreshListAt = n.now + duration.Scale(staleListGrace, 1+n.rng.Float64()/2)
	case n.now >= n.freshness.refreshListAt:
		n.freshness.refreshListAt = n.now + duration.Scale(4*staleListGrace, 1+n.rng.Float64()/2)
		n.emit(RefreshEndpointList{newest})
	}
}

// catchUp asks the peer that holds the newest view for it, if nobody has sent it.
func (n *Node) catchUp() {
	if n.now < n.freshness.nextCatchUpAt {
		return
	}
	var ahead *Peer
	for _, p := range n.peers.sorted {
		if p.Health != HealthAlive || !p.hasStatus() || p.Status.Epoch <= n.view.Epoch {
			continue
		}
		if ahead == nil || p.Status.Epoch > ahead.Status.Epoch {
			ahead = p
		}
	}
	if ahead != nil {
		n.freshness.nextCatchUpAt = n.now + catchUpInterval
		n.send(ahead.Name, Message{Kind: Reject, Epoch: n.view.Epoch})
	}
}
