package membership

import "time"

// startupWait is how long a relay waits for an alive peer before its phase becomes PhaseAlone, and how long a
// member waits for its first lease in a new view before its phase becomes PhaseCutOff.
const startupWait = 1500 * time.Millisecond

// Phase says how far a relay's view is agreed.
type Phase uint8

// The phases. docs/operate/members.md explains them.
const (
	PhaseStarting Phase = iota
	PhaseAlone
	PhaseAgreed
	PhaseSettling
	PhaseCutOff
)

var phaseTexts = [...]string{
	PhaseStarting: "starting",
	PhaseAlone:    "alone",
	PhaseAgreed:   "agreed",
	PhaseSettling: "settling",
	PhaseCutOff:   "cut off",
}

// String returns the text for logs and reports.
func (p Phase) String() string {
	return textOf(phaseTexts[:], uint8(p))
}

// phaseState holds the phase last reported, and when the fleet was last agreed.
type phaseState struct {
	phase    Phase
	agreedAt time.Duration // negative for never
}

// updatePhase sets the phase and reports a change of it for the log.
func (n *Node) updatePhase() {
	phase, cause := n.currentPhase()
	if phase == PhaseAgreed || phase == PhaseSettling {
		n.phases.agreedAt = n.now
	}
	if phase == n.phases.phase {
		return
	}
	n.phases.phase = phase
	n.emit(StateChanged{Kind: ChangePhase, State: phase.String(), Cause: cause})
}

// currentPhase returns the phase at this time, and why.
func (n *Node) currentPhase() (phase Phase, cause string) {
	if n.view.Epoch == 0 {
		return n.phaseWithoutView()
	}
	quorum := n.aliveVoterCount() >= n.view.majority()
	member := n.view.Entry(n.cfg.Name).IsMember
	expired := n.now >= n.lease.validUntil
	switch {
	case !member && quorum:
		return PhaseStarting, "the relay is not in the view"
	case member && expired && n.now < n.viewAdoptedAt+startupWait && quorum:
		return PhaseSettling, "waiting for the first lease"
	case !quorum:
		return PhaseCutOff, "too few voters are alive"
	case member && expired:
		return PhaseCutOff, "too few voters renew the lease"
	case n.view.Settled():
		return PhaseAgreed, "every share is at its target"
	}
	return PhaseSettling, "a share waits until those of other relays have shrunk"
}

// phaseWithoutView returns the phase while no view is agreed, and why.
func (n *Node) phaseWithoutView() (phase Phase, cause string) {
	switch {
	case n.peers.anyAlive():
		return PhaseStarting, "no view is agreed yet"
	case n.now < n.startedAt+startupWait:
		return PhaseStarting, "no peer is alive yet"
	}
	return PhaseAlone, "no peer is alive"
}
