package membership

import (
	"slices"
	"strings"
	"time"
)

// newPeerStatusDelay is how soon a status follows once a new peer is alive.
const newPeerStatusDelay = 100 * time.Millisecond

// unheardTimeout is how long a member may be unheard before it counts as unavailable. Failure detection finds
// a living one sooner, and never tells of one that had failed before this process started.
const unheardTimeout = 5 * time.Second

// Health is what the failure detection knows of a peer.
type Health uint8

// The states of health.
const (
	HealthUnknown   Health = iota
	HealthAlive            // it answers
	HealthSuspected        // it does not answer, and may yet refute
	HealthFailed           // it did not refute
	HealthLeft             // it said that it goes
)

// healthTexts are the states as reports and metrics name them.
var healthTexts = [...]string{
	HealthUnknown: "unheard", HealthAlive: "alive", HealthSuspected: "suspected",
	HealthFailed: "failed", HealthLeft: "left",
}

// String is the text of logs and reports.
func (h Health) String() string {
	return textOf(healthTexts[:], uint8(h))
}

// Peer is what is known of another relay. Instants are on this relay's clock.
type Peer struct {
	Name        string
	Health      Health
	HealthSince time.Duration
	Status      Status
	StatusAt    time.Duration // when the status came, negative for never
	// EpochSince is since when its statuses have named their epoch, SlotReleasedAt since when they have said
	// what they say of its slot.
	EpochSince, SlotReleasedAt time.Duration
}

// peerTable is what is known of the other relays.
//
// Invariants: sorted has every relay of byName but this one, in the order of names, so that a Node with
// the same past does the same; entries are never removed.
type peerTable struct {
	self   string
	byName map[string]*Peer
	sorted []*Peer
}

// entry finds a relay's entry, or makes one that nothing is known of yet.
func (t *peerTable) entry(name string, now time.Duration) *Peer {
	if p := t.byName[name]; p != nil {
		return p
	}
	p := &Peer{Name: name, HealthSince: now, StatusAt: -1}
	t.byName[name] = p
	if name != t.self {
		byName := func(p *Peer, name string) int { return strings.Compare(p.Name, name) }
		i, _ := slices.BinarySearchFunc(t.sorted, name, byName)
		t.sorted = slices.Insert(t.sorted, i, p)
	}
	return p
}

// isAlive tells whether a relay counts as there: this one does, and one that is suspected, as it may yet
// refute that.
func (t *peerTable) isAlive(name string) bool {
	if name == t.self {
		return true
	}
	p := t.byName[name]
	return p != nil && (p.Health == HealthAlive || p.Health == HealthSuspected)
}

// anyAlive tells whether any other relay is known to be alive.
func (t *peerTable) anyAlive() bool {
	return slices.ContainsFunc(t.sorted, func(p *Peer) bool { return p.Health == HealthAlive })
}

// hasStatus tells whether a status of the peer has come.
func (p *Peer) hasStatus() bool { return p != nil && p.StatusAt >= 0 }

// isUnavailable tells whether the peer has failed or left, or its status says Leaving.
func (p *Peer) isUnavailable() bool {
	if p == nil {
		return false
	}
	return p.Health == HealthFailed || p.Health == HealthLeft ||
		p.hasStatus() && p.Status.Lifecycle == LifecycleLeaving
}

// Peers returns what is known of all others, in the order of names.
func (n *Node) Peers() []Peer {
	out := make([]Peer, len(n.peers.sorted))
	for i, p := range n.peers.sorted {
		out[i] = *p
	}
	return out
}

// onPeerHealth takes in what the failure detection has found of a peer.
func (n *Node) onPeerHealth(e PeerHealth) {
	p := n.peers.entry(e.Name, n.now)
	if e.Name == n.cfg.Name || p.Health == e.Health {
		return
	}
	p.Health, p.HealthSince = e.Health, n.now
	if e.Health == HealthAlive { // a peer that is new here knows no status of this relay either
		n.publisher.publishBy(n.now + newPeerStatusDelay)
	}
	n.emit(StateChanged{Kind: ChangePeer, Name: e.Name, State: e.Health.String(), Cause: "failure detection"})
}

// onStatus takes in a status and tells whether anything may follow from it: most bring only new figures.
func (n *Node) onStatus(e StatusReceived) (mayAct bool) {
	p := n.peers.entry(e.Name, n.now)
	if e.Name == n.cfg.Name || !e.Status.newerThan(p.Status) {
		return false
	}
	n.plans.noteActivated(e.Status.ActivatedPlan)
	n.reportPeerStatus(p, e.Status)
	return p.takeStatus(e.Status, n.now)
}

// reportPeerStatus tells people of a peer that is back or does something else now.
func (n *Node) reportPeerStatus(p *Peer, status Status) {
	if !p.hasStatus() {
		return
	}
	switch {
	case status.Incarnation > p.Status.Incarnation:
		n.emit(StateChanged{Kind: ChangePeer, Name: p.Name, State: "back", Cause: "a higher incarnation"})
	case status.Lifecycle != p.Status.Lifecycle:
		n.emit(StateChanged{Kind: ChangePeer, Name: p.Name, State: status.Lifecycle.String(),
			Cause: "its status"})
	}
}

// takeStatus takes a status for the peer's, and tells whether anything in it has changed but figures.
func (p *Peer) takeStatus(status Status, now time.Duration) (changed bool) {
	old, first := p.Status, !p.hasStatus()
	changed = first || !status.sameState(old)
	if first || status.Epoch != old.Epoch {
		p.EpochSince = now
	}
	if first || status.SlotReleased != old.SlotReleased {
		p.SlotReleasedAt = now
	}
	p.Status, p.StatusAt = status, now
	return changed
}

// sameChain tells whether a peer's status is of this relay's chain: view 0 is the same to those who
// bootstrap alike.
func (n *Node) sameChain(p *Peer) bool {
	return p.hasStatus() && (p.Status.Epoch > 0 || p.Status.BootstrapSize == n.view.BootstrapSize)
}
