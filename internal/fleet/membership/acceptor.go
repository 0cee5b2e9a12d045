package membership

import (
	"slices"

	"capersail/internal/fleet/duration"
)

// onMessage takes in a message of a peer, or of this relay to itself.
func (n *Node) onMessage(from string, m Message) {
	if from != n.cfg.Name && n.peers.entry(from, n.now).Status.Incarnation > m.FromIncarnation {
		return // from a process that is known to have ended
	}
	switch m.Kind {
	case Learn:
		n.adoptView(m.View)
	case LeaseRenewed:
		n.onRenewed(from, m)
	case Reject:
		n.onReject(from, m)
	case Promise, Accepted:
		n.onAnswer(from, m)
	case RenewLease, Prepare, Accept:
		n.onVoterRequest(from, m)
	}
}

// onRenewed takes in a voter's renewal of the lease.
func (n *Node) onRenewed(from string, m Message) {
	sentAt := duration.FromMillis(m.SentAtMillis)
	if m.ToIncarnation != n.record.Incarnation || sentAt > n.now || !slices.Contains(n.view.Voters, from) {
		return
	}
	n.lease.noteRenewal(from, sentAt)
	n.lease.extend(n.view, n.leaseValidFor())
}

// onReject sends the view to a peer that is behind it, and gives up a proposal whose ballot is too low.
func (n *Node) onReject(from string, m Message) {
	if m.Epoch < n.view.Epoch {
		n.send(from, Message{Kind: Learn, View: n.view})
	}
	if p := n.voting.proposal; p != nil && p.ballot.less(m.Ballot) {
		n.voting.highestRound = max(n.voting.highestRound, m.Ballot.Round)
		n.voting.abandon(n.now, n.rng)
	}
}

// onVoterRequest answers as a voter. Whoever is behind is sent the view; whoever is ahead is asked for it
// by a Reject.
func (n *Node) onVoterRequest(from string, m Message) {
	switch {
	case n.storageFailed:
		return
	case m.Epoch < n.view.Epoch:
		n.send(from, Message{Kind: Learn, View: n.view})
		return
	case m.Epoch > n.view.Epoch:
		if m.Kind == RenewLease {
			n.deferred[from] = m
		}
		n.send(from, Message{Kind: Reject, Epoch: n.view.Epoch, ToIncarnation: m.FromIncarnation})
		return
	case !n.isVoter():
		return
	}
	switch m.Kind {
	case RenewLease:
		n.answerRenew(from, m)
	case Prepare:
		n.answerPrepare(from, m)
	case Accept:
		n.answerAccept(from, m)
	}
}

// answerRenew renews a member's lease, unless the next view may be chosen already: no lease of an old
// view may be renewed after that.
func (n *Node) answerRenew(from string, m Message) {
	plan, checks := n.view.Allocation.plan(), n.safeguards.checksVersions
	// the asker's program knows of no Allocation, and would take its share of the full budget
	if m.Plan < plan && checks {
		n.send(from, Message{Kind: Learn, View: n.view})
		return
	}
	if n.record.AcceptedView == nil && (m.Plan == plan || !checks) {
		n.send(from, Message{Kind: LeaseRenewed, Epoch: m.Epoch, SentAtMillis: m.SentAtMillis,
			ToIncarnation: m.FromIncarnation})
	}
}

// answerPrepare promises to accept nothing by a lower ballot, and says what it has accepted.
func (n *Node) answerPrepare(from string, m Message) {
	if !n.record.promise(m.Ballot) {
		n.rejectBallot(from, m)
		return
	}
	n.saveRecord()
	n.send(from, Message{
		Kind: Promise, Epoch: m.Epoch, Ballot: m.Ballot, ToIncarnation: m.FromIncarnation,
		AcceptedBallot: n.record.AcceptedBallot, View: n.record.AcceptedView,
		Unavailable: append(n.unavailableMembers(), n.unavailableOf(m.Joining)...),
	})
}

// answerAccept accepts a view that may follow the one held.
func (n *Node) answerAccept(from string, m Message) {
	if m.View == nil || m.View.Epoch != m.Epoch+1 || !n.isValidSuccessor(m.View.Allocation) {
		return
	}
	if !n.record.accept(m.Ballot, m.View) {
		n.rejectBallot(from, m)
		return
	}
	n.voting.viewAcceptedAt = n.now
	n.saveRecord()
	n.send(from, Message{Kind: Accepted, Epoch: m.Epoch, Ballot: m.Ballot, ToIncarnation: m.FromIncarnation})
}

// rejectBallot answers that a higher ballot is promised.
func (n *Node) rejectBallot(from string, m Message) {
	n.send(from, Message{Kind: Reject, Epoch: m.Epoch, Ballot: n.record.PromisedBallot,
		ToIncarnation: m.FromIncarnation})
}

// voterName is the name by which a relay votes in the view held.
func (n *Node) voterName(name string, slot int) string {
	if n.view.Epoch == 0 {
		return slotVoterName(slot)
	}
	return name
}

// voterRelay is the relay that a voter is, "" for one that is not known.
func (n *Node) voterRelay(voter string) string {
	if n.view.Epoch > 0 {
		return voter
	}
	if slotVoterName(n.slot.number) == voter {
		return n.cfg.Name
	}
	for _, p := range n.peers.sorted {
		if !p.hasStatus() || p.Status.Epoch != 0 || p.Status.BootstrapSize != n.view.BootstrapSize {
			continue
		}
		if slotVoterName(p.Status.BootstrapSlot) == voter && n.peers.isAlive(p.Name) {
			return p.Name
		}
	}
	return ""
}

// isVoter tells whether this relay is a voter of the view that it holds, and able to keep what it votes.
func (n *Node) isVoter() bool {
	return !n.storageFailed && slices.Contains(n.view.Voters, n.voterName(n.cfg.Name, n.slot.number))
}

// votersAlive is how many voters of the view held are taken for alive.
func (n *Node) votersAlive() (count int) {
	for _, v := range n.view.Voters {
		if name := n.voterRelay(v); name != "" && n.peers.isAlive(name) {
			count++
		}
	}
	return count
}
