package membership

import (
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// staleListGrace is for how long a peer may have a newer endpoint list before this relay polls for it.
	staleListGrace = 2 * time.Second
	// viewRequestInterval is the minimum time between two requests for a newer view.
	viewRequestInterval = 400 * time.Millisecond
)

// refreshTimers limits how often this relay asks for a view or an endpoint list that a peer has newer.
type refreshTimers struct {
	nextViewRequestAt time.Duration // earliest time of the next request for a view
	refreshListAt     time.Duration // when to poll if a peer still has a newer endpoint list
}

// refreshStaleEndpointList asks for the endpoint list to be polled when a peer has had a newer one for a
// while. A watch event reaches all relays within moments, so this happens only if this relay's watch delivers
// nothing any more.
func (n *Node) refreshStaleEndpointList() {
	newest := int64(0)
	for _, p := range n.peers.sorted {
		if p.hasStatus() && p.Health == HealthAlive {
			newest = max(newest, p.Status.EndpointListGeneration)
		}
	}
	own := n.localState.EndpointListGeneration
	switch {
	case newest <= own || own == 0:
		n.refreshTimers.refreshListAt = n.now + duration.Scale(staleListGrace, 1+n.rng.Float64()/2)
	case n.now >= n.refreshTimers.refreshListAt:
		n.refreshTimers.refreshListAt = n.now + duration.Scale(4*staleListGrace, 1+n.rng.Float64()/2)
		n.emit(RefreshEndpointList{newest})
	}
}

// requestNewerView asks the peer that holds the newest view for it, if no peer has sent it.
func (n *Node) requestNewerView() {
	if n.now < n.refreshTimers.nextViewRequestAt {
		return
	}
	var newestPeer *Peer
	for _, p := range n.peers.sorted {
		if p.Health != HealthAlive || !p.hasStatus() || p.Status.Epoch <= n.view.Epoch {
			continue
		}
		if newestPeer == nil || p.Status.Epoch > newestPeer.Status.Epoch {
			newestPeer = p
		}
	}
	if newestPeer != nil {
		n.refreshTimers.nextViewRequestAt = n.now + viewRequestInterval
		n.send(newestPeer.Name, Message{Kind: Reject, Epoch: n.view.Epoch})
	}
}
