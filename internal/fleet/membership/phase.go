package membership

import "time"

const (
	startupWait = 1500 * time.Millisecond // a relay that has heard nobody for so long is alone
)

// Phase is how far a relay's view is agreed.
type Phase uint8

// The phases, as docs/operate/members.md explains them.
const (
	PhaseStarting Phase = iota
	PhaseAlone
	PhaseAgreed
	PhaseSettling
	PhaseCutOff
)

func (p Phase) String() string {
	return [...]string{"starting", "alone", "agreed", "settling", "cut off"}[min(p, PhaseCutOff)]
}

// updatePhase names the phase, for people and for what is reckoned with.
func (n *Node) updatePhase() {
	was, cause := n.phase, ""
	heard := false
	for _, p := range n.sortedPeers {
		heard = heard || p.Health == Alive
	}
	switch seat := n.view.Member(n.cfg.Name); {
	case n.view.Epoch == 0 && !heard && n.now < n.startedAt+startupWait:
		n.phase, cause = PhaseStarting, "nobody is heard yet"
	case n.view.Epoch == 0 && !heard:
		n.phase, cause = PhaseAlone, "nobody is heard"
	case n.view.Epoch == 0:
		n.phase, cause = PhaseStarting, "no view is agreed yet"
	case !seat.In && n.votersAlive() >= n.view.majority():
		n.phase, cause = PhaseStarting, "not in the view"
	case seat.In && n.now >= n.leaseValidUntil && n.now < n.viewAdoptedAt+startupWait && n.votersAlive() >= n.view.majority():
		n.phase, cause = PhaseSettling, "its grant is awaited"
	case n.votersAlive() < n.view.majority():
		n.phase, cause = PhaseCutOff, "too few voters are heard"
	case seat.In && n.now >= n.leaseValidUntil:
		n.phase, cause = PhaseCutOff, "too few voters renew the grant"
	case n.view.Settled():
		n.phase, cause = PhaseAgreed, "every share is at its target"
	default:
		n.phase, cause = PhaseSettling, "a share waits for others to shrink"
	}
	if n.phase == PhaseAgreed || n.phase == PhaseSettling {
		n.agreedAt = n.now
	}
	if n.phase != was {
		n.emit(Changed{Kind: ChangePhase, State: n.phase.String(), Cause: cause})
	}
}
