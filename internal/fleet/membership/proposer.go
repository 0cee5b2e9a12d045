package membership

import (
	"slices"
	"time"
)

const (
	// bootstrapWait is how long the relays that bootstrap a fleet wait for each other before they make the
	// first view.
	bootstrapWait = 700 * time.Millisecond
	// bootstrapWaitMax is when a majority makes the first view at the latest.
	bootstrapWaitMax = 3 * time.Second
)

// propose starts a ballot for the next view if one is needed and it is this voter's turn.
func (n *Node) propose() {
	if n.voting.timedOut(n.now) {
		n.voting.abandon(n.now, n.rng)
	}
	if n.voting.proposal != nil || n.now < n.voting.nextProposalAt || !n.isVoter() {
		return
	}
	ownUnavailable := n.unavailableMembers()
	spec, changed := n.nextViewSpec(func(name string) bool { return slices.Contains(ownUnavailable, name) })
	takeover := n.voting.takeoverDue(n.now)
	n.voting.noteChangeWanted(changed || takeover, n.now)
	if !changed && !takeover {
		return
	}
	if n.now < n.voting.changeWantedSince+n.proposerDelay() || n.aliveVoterCount() < n.view.majority() {
		return
	}
	if !takeover && n.awaitsBootstrapVoters() {
		return
	}
	p := n.voting.startProposal(n.cfg.Name, n.record.PromisedBallot, n.now)
	n.sendToVoters(Message{
		Kind: Prepare, Epoch: n.view.Epoch, Ballot: p.ballot, Joining: n.view.nonMembers(spec.members),
	})
}

// awaitsBootstrapVoters reports whether a relay that bootstraps the fleet should wait for more voters.
func (n *Node) awaitsBootstrapVoters() bool {
	if n.view.Epoch > 0 {
		return false
	}
	waited := n.now - n.voting.changeWantedSince
	return waited < bootstrapWait || waited < bootstrapWaitMax && n.aliveVoterCount() < len(n.view.Voters)
}

// proposerDelay returns how long this voter waits so that the alive voters before it can propose first.
func (n *Node) proposerDelay() time.Duration {
	wait := time.Duration(0)
	for _, v := range n.view.Voters {
		name := n.relayOfVoter(v)
		if name == n.cfg.Name {
			break
		}
		if name != "" && n.peers.isAlive(name) {
			wait += proposerStagger
		}
	}
	return wait
}

// sendToVoters sends a message of the proposal to all voters. It stops when this relay's own answer has ended
// the proposal.
func (n *Node) sendToVoters(m Message) {
	view, p := n.view, n.voting.proposal
	for _, v := range view.Voters {
		if name := n.relayOfVoter(v); name != "" && n.view == view && n.voting.proposal == p {
			n.send(name, m)
		}
	}
}

// onVoterAnswer counts a voter's promise or acceptance.
func (n *Node) onVoterAnswer(from string, m Message) {
	p, voter := n.voting.proposal, n.voterName(from, m.BootstrapSlot)
	if p == nil || m.Epoch != n.view.Epoch || m.Ballot != p.ballot ||
		m.ToIncarnation != n.record.Incarnation {
		return
	}
	if !slices.Contains(n.view.Voters, voter) {
		return
	}
	switch {
	case m.Kind == Promise && p.proposedView == nil:
		p.addPromise(voter, m)
		if len(p.promises) >= n.view.majority() {
			n.proposeView(p)
		}
	case m.Kind == Accepted && p.proposedView != nil:
		p.acceptances[voter] = true
		if len(p.acceptances) >= n.view.majority() {
			n.announceView(p.proposedView)
		}
	}
}

// proposeView asks the voters to accept a view: the one that may have been chosen already, or else a new one
// with the changes that this relay wants and for which a majority of the voters has evidence. Without such
// changes it waits for more promises, and abandons the proposal once all voters have promised.
func (n *Node) proposeView(p *proposal) {
	if p.proposedView = p.highestAcceptedView; p.proposedView == nil {
		spec, changed := n.nextViewSpec(func(name string) bool {
			return p.reportsUnavailable(name, n.view)
		})
		if !changed {
			if len(p.promises) == len(n.view.Voters) {
				n.voting.abandon(n.now, n.rng)
			}
			return
		}
		p.proposedView = n.view.nextView(spec)
	}
	n.sendToVoters(Message{Kind: Accept, Epoch: n.view.Epoch, Ballot: p.ballot, View: p.proposedView})
}

// announceView adopts a chosen view and sends it to all members of it and of the view before.
func (n *Node) announceView(chosen *View) {
	before := n.view
	n.adoptView(chosen)
	notified := map[string]bool{n.cfg.Name: true}
	for _, name := range append(before.MemberNames(), chosen.MemberNames()...) {
		if !notified[name] {
			notified[name] = true
			n.send(name, Message{Kind: Learn, View: chosen})
		}
	}
}
