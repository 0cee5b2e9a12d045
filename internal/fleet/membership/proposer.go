package membership

import (
	"slices"
	"time"
)

const (
	// bootstrapWait is how long those who bootstrap wait for each other before they make the first view.
	bootstrapWait = 700 * time.Millisecond
	// bootstrapWaitMax is when a majority makes it at the latest.
	bootstrapWaitMax = 3 * time.Second
)

// propose begins a ballot for the next view once there is need and it is this voter's turn.
func (n *Node) propose() {
	if n.voting.timedOut(n.now) {
		n.voting.abandon(n.now, n.rng)
	}
	if n.voting.proposal != nil || n.now < n.voting.nextProposalAt || !n.isVoter() {
		return
	}
	own := n.unavailableMembers()
	request, changed := n.nextViewRequest(func(name string) bool { return slices.Contains(own, name) })
	takeover := n.voting.takeoverDue(n.now)
	n.voting.noteChangeWanted(changed || takeover, n.now)
	if !changed && !takeover {
		return
	}
	if n.now < n.voting.changeWantedSince+n.proposerDelay() || n.votersAlive() < n.view.majority() {
		return
	}
	if !takeover && n.awaitsBootstrapVoters() {
		return
	}
	p := n.voting.start(n.cfg.Name, n.record.PromisedBallot, n.now)
	n.sendToVoters(Message{
		Kind: Prepare, Epoch: n.view.Epoch, Ballot: p.ballot, Joining: n.view.joining(request.members),
	})
}

// awaitsBootstrapVoters tells whether those who bootstrap the fleet should wait for more of them.
func (n *Node) awaitsBootstrapVoters() bool {
	if n.view.Epoch > 0 {
		return false
	}
	waited := n.now - n.voting.changeWantedSince
	return waited < bootstrapWait || waited < bootstrapWaitMax && n.votersAlive() < len(n.view.Voters)
}

// proposerDelay is how long this voter lets those before it go first.
func (n *Node) proposerDelay() time.Duration {
	wait := time.Duration(0)
	for _, v := range n.view.Voters {
		name := n.voterRelay(v)
		if name == n.cfg.Name {
			break
		}
		if name != "" && n.peers.isAlive(name) {
			wait += proposerStagger
		}
	}
	return wait
}

// sendToVoters sends a proposal's message to all voters, as long as it stands: this relay's own answer
// may end it.
func (n *Node) sendToVoters(m Message) {
	view, p := n.view, n.voting.proposal
	for _, v := range view.Voters {
		if name := n.voterRelay(v); name != "" && n.view == view && n.voting.proposal == p {
			n.send(name, m)
		}
	}
}

// onAnswer counts a voter's promise or acceptance.
func (n *Node) onAnswer(from string, m Message) {
	p, voter := n.voting.proposal, n.voterName(from, m.BootstrapSlot)
	if p == nil || m.Epoch != n.view.Epoch || m.Ballot != p.ballot ||
		m.ToIncarnation != n.record.Incarnation {
		return
	}
	if !slices.Contains(n.view.Voters, voter) {
		return
	}
	switch {
	case m.Kind == Promise && p.proposed == nil:
		p.addPromise(voter, m)
		if len(p.promises) >= n.view.majority() {
			n.proposeView(p)
		}
	case m.Kind == Accepted && p.proposed != nil:
		p.acceptances[voter] = true
		if len(p.acceptances) >= n.view.majority() {
			n.announceView(p.proposed)
		}
	}
}

// proposeView asks the voters to accept a view: what may have been chosen already, or else what this
// relay wants and a majority of the voters has evidence for. Until they have, more promises are awaited.
func (n *Node) proposeView(p *proposal) {
	if p.proposed = p.highestAccepted; p.proposed == nil {
		request, changed := n.nextViewRequest(func(name string) bool {
			return p.reportsUnavailable(name, n.view)
		})
		if !changed {
			if len(p.promises) == len(n.view.Voters) {
				n.voting.abandon(n.now, n.rng)
			}
			return
		}
		p.proposed = n.view.next(request)
	}
	n.sendToVoters(Message{Kind: Accept, Epoch: n.view.Epoch, Ballot: p.ballot, View: p.proposed})
}

// announceView adopts a view that is chosen, and tells all members of it and of the one before.
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
