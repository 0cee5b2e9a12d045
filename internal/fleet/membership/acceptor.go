package membership

import (
	"slices"

	"capersail/internal/fleet/duration"
)

// onMessage handles a message from a peer, or from this relay to itself.
func (n *Node) onMessage(from string, m Message) {
	if from != n.cfg.Name && n.peers.entry(from, n.now).Status.Incarnation > m.FromIncarnation {
		return // the sending process has ended: its relay runs with a higher incarnation
	}
	switch m.Kind {
	case Learn:
		n.adoptView(m.View)
	case LeaseRenewed:
		n.onLeaseRenewed(from, m)
	case Reject:
		n.onReject(from, m)
	case Promise, Accepted:
		n.onVoterAnswer(from, m)
	case RenewLease, Prepare, Accept:
		n.onVoterRequest(from, m)
	}
}

// onLeaseRenewed extends the lease by a voter's renewal.
func (n *Node) onLeaseRenewed(from string, m Message) {
	sentAt := duration.FromMillis(m.SentAtMillis)
	if m.ToIncarnation != n.record.Incarnation || sentAt > n.now || !slices.Contains(n.view.Voters, from) {
		return
	}
	n.lease.noteRenewal(from, sentAt)
	n.lease.extend(n.view, n.leaseValidity())
}

// onReject sends the view to a peer that holds an older one, and abandons this relay's proposal if the peer
// has promised a higher ballot.
func (n *Node) onReject(from string, m Message) {
	if m.Epoch < n.view.Epoch {
		n.send(from, Message{Kind: Learn, View: n.view})
	}
	if p := n.voting.proposal; p != nil && p.ballot.less(m.Ballot) {
		n.voting.highestRound = max(n.voting.highestRound, m.Ballot.Round)
		n.voting.abandon(n.now, n.rng)
	}
}

// onVoterRequest answers a request to this relay as a voter. A sender that holds an older view is sent the
// newer one; a sender that holds a newer view is asked for it by a Reject.
func (n *Node) onVoterRequest(from string, m Message) {
	switch {
	case n.storageFailed:
		return
	case m.Epoch < n.view.Epoch:
		n.send(from, Message{Kind: Learn, View: n.view})
		return
	case m.Epoch > n.view.Epoch:
		if m.Kind == RenewLease {
			n.deferredRenewals[from] = m
		}
		n.send(from, Message{Kind: Reject, Epoch: n.view.Epoch, ToIncarnation: m.FromIncarnation})
		return
	case !n.isVoter():
		return
	}
	switch m.Kind {
	case RenewLease:
		n.answerRenewLease(from, m)
	case Prepare:
		n.answerPrepare(from, m)
	case Accept:
		n.answerAccept(from, m)
	}
}

// answerRenewLease renews a member's lease, unless this voter has accepted the next view: that view may be
// chosen already, and from then on no lease of an older view may be renewed.
func (n *Node) answerRenewLease(from string, m Message) {
	plan, checks := n.view.Allocation.planNumber(), n.safeguards.checksVersions
	// The program of the sender knows no Allocation, and would take its share of the full budget.
	if m.Plan < plan && checks {
		n.send(from, Message{Kind: Learn, View: n.view})
		return
	}
	if n.record.AcceptedView == nil && (m.Plan == plan || !checks) {
		n.send(from, Message{Kind: LeaseRenewed, Epoch: m.Epoch, SentAtMillis: m.SentAtMillis,
			ToIncarnation: m.FromIncarnation})
	}
}

// answerPrepare promises to accept no view by a lower ballot, and reports the view that this voter has
// accepted.
func (n *Node) answerPrepare(from string, m Message) {
	if !n.record.promise(m.Ballot) {
		n.rejectBallot(from, m)
		return
	}
	n.saveRecord()
	n.send(from, Message{
		Kind: Promise, Epoch: m.Epoch, Ballot: m.Ballot, ToIncarnation: m.FromIncarnation,
		AcceptedBallot: n.record.AcceptedBallot, View: n.record.AcceptedView,
		Unavailable: append(n.unavailableMembers(), n.unavailableNonMembers(m.Joining)...),
	})
}

// answerAccept accepts a view that is a valid successor of the view held.
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

// rejectBallot answers that this voter has promised a higher ballot.
func (n *Node) rejectBallot(from string, m Message) {
	n.send(from, Message{Kind: Reject, Epoch: m.Epoch, Ballot: n.record.PromisedBallot,
		ToIncarnation: m.FromIncarnation})
}

// voterName returns the name by which a relay votes in the view held.
func (n *Node) voterName(name string, slot int) string {
	if n.view.Epoch == 0 {
		return slotVoterName(slot)
	}
	return name
}

// relayOfVoter returns the name of the relay that votes under a voter name, or "" if it is not known.
func (n *Node) relayOfVoter(voter string) string {
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

// isVoter reports whether this relay is a voter of the view held and can store its votes.
func (n *Node) isVoter() bool {
	return !n.storageFailed && slices.Contains(n.view.Voters, n.voterName(n.cfg.Name, n.slot.number))
}

// aliveVoterCount returns how many voters of the view held count as alive.
func (n *Node) aliveVoterCount() (count int) {
	for _, v := range n.view.Voters {
		if name := n.relayOfVoter(v); name != "" && n.peers.isAlive(name) {
			count++
		}
	}
	return count
}
