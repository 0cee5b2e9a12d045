package membership

import (
	"slices"
	"strings"
	"time"
)

// newPeerStatusDelay is how soon this relay publishes its status once a new peer is alive.
const newPeerStatusDelay = 100 * time.Millisecond

// firstHealthReportTimeout is how long failure detection may report no health of a member before the member
// counts as unavailable. Failure detection finds a running member sooner, and reports nothing about a member
// that failed before this process started.
const firstHealthReportTimeout = 5 * time.Second

// Health is the state of a peer as failure detection sees it.
type Health uint8

// The states of health.
const (
	HealthUnknown   Health = iota
	HealthAlive            // it answers
	HealthSuspected        // it does not answer, and may still refute the suspicion
	HealthFailed           // it did not refute the suspicion
	HealthLeft             // it announced that it leaves
)

// healthTexts names the states in reports and metrics.
var healthTexts = [...]string{
	HealthUnknown: "unheard", HealthAlive: "alive", HealthSuspected: "suspected",
	HealthFailed: "failed", HealthLeft: "left",
}

// String returns the text for logs and reports.
func (h Health) String() string {
	return textOf(healthTexts[:], uint8(h))
}

// Peer is what is known of another relay. Times are on this relay's clock.
type Peer struct {
	Name        string
	Health      Health
	HealthSince time.Duration
	Status      Status
	StatusAt    time.Duration // when the last status arrived, negative for never
	// EpochSince is since when the peer's statuses have had their present epoch; SlotReleasedAt is since when
	// they have had their present SlotReleased.
	EpochSince, SlotReleasedAt time.Duration
}

// peerTable holds what is known of the other relays.
//
// Invariants: sorted holds every relay of byName but this one, sorted by name, so that a Node with the same
// history acts the same; entries are never removed.
type peerTable struct {
	self   string
	byName map[string]*Peer
	sorted []*Peer
}

// entry returns the entry of a relay, and adds an empty one if there is none.
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

// isAlive reports whether a relay counts as alive: this one does, and so does a suspected one, which may
// still refute the suspicion.
func (t *peerTable) isAlive(name string) bool {
	if name == t.self {
		return true
	}
	p := t.byName[name]
	return p != nil && (p.Health == HealthAlive || p.Health == HealthSuspected)
}

// anyAlive reports whether any other relay is known to be alive.
func (t *peerTable) anyAlive() bool {
	return slices.ContainsFunc(t.sorted, func(p *Peer) bool { return p.Health == HealthAlive })
}

// hasStatus reports whether a status of the peer has arrived.
func (p *Peer) hasStatus() bool { return p != nil && p.StatusAt >= 0 }

// isUnavailable reports whether the peer has failed or left, or its status says LifecycleLeaving.
func (p *Peer) isUnavailable() bool {
	if p == nil {
		return false
	}
	return p.Health == HealthFailed || p.Health == HealthLeft ||
		p.hasStatus() && p.Status.Lifecycle == LifecycleLeaving
}

// Peers returns what is known of all other relays, sorted by name.
func (n *Node) Peers() []Peer {
	out := make([]Peer, len(n.peers.sorted))
	for i, p := range n.peers.sorted {
		out[i] = *p
	}
	return out
}

// onPeerHealth records what failure detection has found of a peer.
func (n *Node) onPeerHealth(e PeerHealth) {
	p := n.peers.entry(e.Name, n.now)
	if e.Name == n.cfg.Name || p.Health == e.Health {
		return
	}
	p.Health, p.HealthSince = e.Health, n.now
	if e.Health == HealthAlive { // the new peer has no status of this relay yet
		n.publisher.publishBy(n.now + newPeerStatusDelay)
	}
	n.emit(StateChanged{Kind: ChangePeer, Name: e.Name, State: e.Health.String(), Cause: "failure detection"})
}

// onStatus records a peer's status and reports whether the Node may have to act on it: most statuses bring
// only new load figures.
func (n *Node) onStatus(e StatusReceived) (mayAct bool) {
	p := n.peers.entry(e.Name, n.now)
	if e.Name == n.cfg.Name || !e.Status.newerThan(p.Status) {
		return false
	}
	n.plans.noteActivated(e.Status.ActivatedPlan)
	n.emitPeerChange(p, e.Status)
	return p.setStatus(e.Status, n.now)
}

// emitPeerChange reports for the log that a peer has restarted or changed its lifecycle.
func (n *Node) emitPeerChange(p *Peer, status Status) {
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

// setStatus records a status as the peer's newest, and reports whether anything but load figures has changed.
func (p *Peer) setStatus(status Status, now time.Duration) (changed bool) {
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

// sameChain reports whether a peer's status is of this relay's chain. View 0 is the same for all relays that
// bootstrap with the same size.
func (n *Node) sameChain(p *Peer) bool {
	return p.hasStatus() && (p.Status.Epoch > 0 || p.Status.BootstrapSize == n.view.BootstrapSize)
}
