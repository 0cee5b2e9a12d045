package membership

import (
	"slices"
	"strings"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	staleListGrace = 2 * time.Second // a peer has had a newer list of servers for so long
)

// Health is what is known of a peer's health.
type Health uint8

// The states of health.
const (
	Unknown   Health = iota
	Alive            // it answers
	Suspected        // it does not answer, and may yet refute
	Failed           // it did not refute
	Left             // it said that it goes
)

func (w Health) String() string {
	return [...]string{"unheard", "alive", "suspected", "failed", "left"}[min(w, Left)]
}

// Peer is what is known of one.
type Peer struct {
	Name        string
	Health      Health
	HealthSince time.Duration // of the health
	Status      Status
	StatusAt    time.Duration // when the status came, negative for never
	// Since when its statuses have named their epoch, and said what they say of its place.
	EpochSince, SlotReleasedAt time.Duration
}

// Peers returns what is known of all others, in the order of names.
func (n *Node) Peers() []Peer {
	out := make([]Peer, len(n.sortedPeers))
	for i, p := range n.sortedPeers {
		out[i] = *p
	}
	return out
}

// peerEntry finds or makes a peerEntry's entry.
func (n *Node) peerEntry(name string) *Peer {
	p := n.peers[name]
	if p == nil {
		p = &Peer{Name: name, HealthSince: n.now, StatusAt: -1}
		n.peers[name] = p
		if name != n.cfg.Name {
			i, _ := slices.BinarySearchFunc(n.sortedPeers, name, func(p *Peer, n string) int { return strings.Compare(p.Name, n) })
			n.sortedPeers = slices.Insert(n.sortedPeers, i, p)
		}
	}
	return p
}

func (n *Node) onPeerHealth(e PeerHealth) {
	p := n.peerEntry(e.Name)
	if e.Name == n.cfg.Name || p.Health == e.Health {
		return
	}
	p.Health, p.HealthSince = e.Health, n.now
	if e.Health == Alive {
		n.nextStatusAt = min(n.nextStatusAt, n.now+100*time.Millisecond) // a peer that is new here has not heard us either
	}
	n.emit(Changed{Kind: ChangePeer, Name: e.Name, State: e.Health.String(), Cause: "failure detection"})
}

// onStatus takes in a status and tells whether anything may follow from it: most bring only new figures.
func (n *Node) onStatus(e StatusReceived) (news bool) {
	p, d := n.peerEntry(e.Name), e.Status
	if e.Name == n.cfg.Name || d.Incarnation < p.Status.Incarnation ||
		d.Incarnation == p.Status.Incarnation && d.Seq <= p.Status.Seq { // overtaken on its way, or told before
		return false
	}
	old := p.Status
	news = p.StatusAt < 0 || d.Incarnation != old.Incarnation || d.Lifecycle != old.Lifecycle ||
		d.Epoch != old.Epoch || d.SlotReleased != old.SlotReleased || d.EndpointListGeneration != old.EndpointListGeneration || d.Version != old.Version || d.ActivatedPlan != old.ActivatedPlan
	n.activatedPlan = max(n.activatedPlan, d.ActivatedPlan)
	if p.StatusAt >= 0 && d.Incarnation > p.Status.Incarnation {
		n.emit(Changed{Kind: ChangePeer, Name: e.Name, State: "back", Cause: "a higher incarnation"})
	} else if p.StatusAt >= 0 && d.Lifecycle != p.Status.Lifecycle {
		n.emit(Changed{Kind: ChangePeer, Name: e.Name, State: d.Lifecycle.String(), Cause: "its digest"})
	}
	if p.StatusAt < 0 || d.Epoch != old.Epoch {
		p.EpochSince = n.now
	}
	if p.StatusAt < 0 || d.SlotReleased != old.SlotReleased {
		p.SlotReleasedAt = n.now
	}
	p.Status, p.StatusAt = d, n.now
	return news
}

// refreshEndpointList asks for the list of servers out of turn once a peer has had a newer one for a while: news of a change
// reaches all within moments, unless this relay's watch has gone silent.
func (n *Node) refreshEndpointList() {
	newest := int64(0)
	for _, p := range n.sortedPeers {
		if p.StatusAt >= 0 && p.Health == Alive {
			newest = max(newest, p.Status.EndpointListGeneration)
		}
	}
	switch {
	case newest <= n.local.EndpointListGeneration || n.local.EndpointListGeneration == 0:
		n.refreshListAt = n.now + duration.Scale(staleListGrace, 1+n.rng.Float64()/2)
	case n.now >= n.refreshListAt:
		n.refreshListAt = n.now + duration.Scale(4*staleListGrace, 1+n.rng.Float64()/2)
		n.emit(RefreshEndpointList{newest})
	}
}

// sorted are the peers in the order of names, so that a Node with the same past does the same.
func (n *Node) sorted() []*Peer { return n.sortedPeers }

// sameChain tells whether a peer's status is of this relay's chain: view 0 is the same to those who found alike.
func (n *Node) sameChain(p *Peer) bool {
	return p.StatusAt >= 0 && (p.Status.Epoch > 0 || p.Status.BootstrapSize == n.view.BootstrapSize)
}

// isAlive tells whether a relay counts as there.
func (n *Node) isAlive(name string) bool {
	if name == n.cfg.Name {
		return true
	}
	p := n.peers[name]
	return p != nil && (p.Health == Alive || p.Health == Suspected)
}
