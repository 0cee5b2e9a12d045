package membership

import (
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	ballotTimeout    = 500 * time.Millisecond // a ballot that has no majority by then is given up
	proposerTurn     = 400 * time.Millisecond // between two voters' turns to propose
	acceptedTimeout  = 600 * time.Millisecond // an accepted view that nobody tells the choice of is taken up
	bootstrapWait    = 700 * time.Millisecond // how long founders wait for each other before they make the first view
	bootstrapWaitMax = 3 * time.Second        // and at the latest they do with a majority
)

// proposal is a ballot of this relay's own.
type proposal struct {
	ballot          Ballot
	startedAt       time.Duration
	proposed        *View // proposed; nil while promises are awaited
	highestBallot   Ballot
	highestAccepted *View
	promises        map[string][]string // by voter: whom it takes for gone
	acceptances     map[string]bool
}

// propose makes the next view once there is need and it is this voter's turn.
func (n *Node) propose() {
	if t := n.proposal; t != nil && n.now >= t.startedAt+ballotTimeout {
		n.abandonProposal()
	}
	if n.proposal != nil || n.now < n.nextProposalAt || !n.isVoter() {
		return
	}
	mine := map[string]bool{}
	for _, name := range n.unavailableMembers() {
		mine[name] = true
	}
	_, need := n.nextViewRequest(func(name string) bool { return mine[name] })
	taken := n.viewAcceptedAt >= 0 && n.now >= n.viewAcceptedAt+acceptedTimeout
	if !need && !taken {
		n.changeWantedSince = -1
		return
	}
	if n.changeWantedSince < 0 {
		n.changeWantedSince = n.now
	}
	if n.now < n.changeWantedSince+n.proposerDelay() || n.votersAlive() < n.view.majority() || !taken && n.awaitsBootstrapVoters() {
		return
	}
	n.highestRound = max(n.highestRound, n.record.Promised.Round) + 1
	t := &proposal{ballot: Ballot{n.highestRound, n.cfg.Name}, startedAt: n.now, promises: map[string][]string{}, acceptances: map[string]bool{}}
	n.proposal = t
	n.sendToVoters(Message{Kind: Prepare, Epoch: n.view.Epoch, Ballot: t.ballot})
}

// awaitsBootstrapVoters tells whether those who found the fleet should wait for more of them.
func (n *Node) awaitsBootstrapVoters() bool {
	return n.view.Epoch == 0 && (n.now < n.changeWantedSince+bootstrapWait || n.now < n.changeWantedSince+bootstrapWaitMax && n.votersAlive() < len(n.view.Voters))
}

// proposerDelay is how long this voter lets those before it go first.
func (n *Node) proposerDelay() time.Duration {
	wait := time.Duration(0)
	for _, v := range n.view.Voters {
		name := n.voterRelay(v)
		if name == n.cfg.Name {
			break
		}
		if name != "" && n.isAlive(name) {
			wait += proposerTurn
		}
	}
	return wait
}

func (n *Node) sendToVoters(m Message) {
	view, t := n.view, n.proposal
	for _, v := range view.Voters {
		if name := n.voterRelay(v); name != "" && n.view == view && n.proposal == t {
			n.send(name, m)
		}
	}
}

// abandonProposal ends a ballot; another may follow after a while drawn at random.
func (n *Node) abandonProposal() {
	n.proposal = nil
	n.nextProposalAt = n.now + duration.Scale(proposerTurn, 0.25+n.rng.Float64())
}

func (n *Node) onMessage(from string, m Message) {
	if from != n.cfg.Name && n.peerEntry(from).Status.Incarnation > m.From {
		return // from a process that is known to have ended
	}
	switch m.Kind {
	case Learn:
		n.adoptView(m.View)
	case Renewed:
		if m.To == n.record.Incarnation && duration.FromMillis(m.SentAtMillis) <= n.now && slices.Contains(n.view.Voters, from) {
			n.renewalSentAt[from] = max(n.renewalSentAt[from], duration.FromMillis(m.SentAtMillis))
			n.extendLease()
		}
	case Reject:
		if m.Epoch < n.view.Epoch {
			n.send(from, Message{Kind: Learn, View: n.view})
		}
		if t := n.proposal; t != nil && t.ballot.less(m.Ballot) {
			n.highestRound = max(n.highestRound, m.Ballot.Round)
			n.abandonProposal()
		}
	case Promise, Accepted:
		n.onAnswer(from, m)
	case Renew, Prepare, Accept:
		n.onVoterRequest(from, m)
	}
}

// onVoterRequest answers as a voter. Whoever is behind is told the view; whoever is ahead is asked for it by a Reject.
func (n *Node) onVoterRequest(from string, m Message) {
	epoch := m.Epoch
	switch {
	case n.storageFailed:
		return
	case epoch < n.view.Epoch:
		n.send(from, Message{Kind: Learn, View: n.view})
		return
	case epoch > n.view.Epoch:
		n.send(from, Message{Kind: Reject, Epoch: n.view.Epoch, To: m.From})
		return
	case !n.isVoter():
		return
	}
	switch m.Kind {
	case Renew:
		switch plan := n.view.Allocation.plan(); {
		case m.Plan < plan && n.checksVersions: // the asker's program knows of no Allocation, and would take its share of the whole
			n.send(from, Message{Kind: Learn, View: n.view})
		case n.record.Accepted == nil && (m.Plan == plan || !n.checksVersions): // else the next view may be chosen already
			n.send(from, Message{Kind: Renewed, Epoch: epoch, SentAtMillis: m.SentAtMillis, To: m.From})
		}
	case Prepare:
		if m.Ballot.less(n.record.Promised) {
			n.send(from, Message{Kind: Reject, Epoch: epoch, Ballot: n.record.Promised, To: m.From})
			return
		}
		n.record.Promised = m.Ballot
		n.saveRecord()
		n.send(from, Message{Kind: Promise, Epoch: epoch, Ballot: m.Ballot, AcceptedBallot: n.record.AcceptedBallot, View: n.record.Accepted,
			Unavailable: n.unavailableMembers(), To: m.From})
	case Accept:
		if m.View == nil || m.View.Epoch != epoch+1 || !n.isValidSuccessor(m.View.Allocation) {
			return
		}
		if m.Ballot.less(n.record.Promised) {
			n.send(from, Message{Kind: Reject, Epoch: epoch, Ballot: n.record.Promised, To: m.From})
			return
		}
		n.record.Promised, n.record.AcceptedBallot, n.record.Accepted, n.viewAcceptedAt = m.Ballot, m.Ballot, m.View, n.now
		n.saveRecord()
		n.send(from, Message{Kind: Accepted, Epoch: epoch, Ballot: m.Ballot, To: m.From})
	}
}

// onAnswer counts a promise or an acceptance.
func (n *Node) onAnswer(from string, m Message) {
	t, voter := n.proposal, n.voterName(from, m.BootstrapSlot)
	if t == nil || m.Epoch != n.view.Epoch || m.Ballot != t.ballot || m.To != n.record.Incarnation || !slices.Contains(n.view.Voters, voter) {
		return
	}
	switch {
	case m.Kind == Promise && t.proposed == nil:
		t.promises[voter] = m.Unavailable
		if m.View != nil && (t.highestAccepted == nil || t.highestBallot.less(m.AcceptedBallot) || t.highestBallot == m.AcceptedBallot && t.highestAccepted.Allocation == nil) {
			t.highestBallot, t.highestAccepted = m.AcceptedBallot, m.View
		}
		if len(t.promises) < n.view.majority() {
			return
		}
		if t.proposed = t.highestAccepted; t.proposed == nil { // nothing may have been chosen: the choice is free
			w, need := n.nextViewRequest(func(name string) bool { return n.majorityReportsUnavailable(t, name) })
			if !need {
				n.abandonProposal()
				return
			}
			t.proposed = n.view.next(w)
		}
		n.sendToVoters(Message{Kind: Accept, Epoch: n.view.Epoch, Ballot: t.ballot, View: t.proposed})
	case m.Kind == Accepted && t.proposed != nil:
		t.acceptances[voter] = true
		if len(t.acceptances) < n.view.majority() {
			return
		}
		old, chosen := n.view, t.proposed
		n.adoptView(chosen)
		told := map[string]bool{n.cfg.Name: true}
		for _, name := range append(old.MemberNames(), chosen.MemberNames()...) {
			if !told[name] {
				told[name] = true
				n.send(name, Message{Kind: Learn, View: chosen})
			}
		}
	}
}

// majorityReportsUnavailable tells whether most of the voters that have promised, and this relay, take a member for gone: one relay's
// broken link puts nobody out.
func (n *Node) majorityReportsUnavailable(t *proposal, name string) bool {
	count := 0
	for _, gone := range t.promises {
		if slices.Contains(gone, name) {
			count++
		}
	}
	return 2*count > len(t.promises)
}

// catchUp asks for a view that others hold and nobody has told.
func (n *Node) catchUp() {
	if n.now < n.nextCatchUpAt {
		return
	}
	var best *Peer
	for _, p := range n.sortedPeers {
		if p.Health == Alive && p.StatusAt >= 0 && p.Status.Epoch > n.view.Epoch && (best == nil || p.Status.Epoch > best.Status.Epoch) {
			best = p
		}
	}
	if best != nil {
		n.nextCatchUpAt = n.now + proposerTurn
		n.send(best.Name, Message{Kind: Reject, Epoch: n.view.Epoch})
	}
}

// adoptView takes up a view that is chosen.
func (n *Node) adoptView(v *View) {
	if n.restoresAllocation(v) {
		n.view, n.record.View, n.viewHash, n.planAdoptedAt = v, v, v.Hash(), n.now
		n.saveRecord()
		n.publish(true)
		return
	}
	if v == nil || v.Epoch <= n.view.Epoch || len(v.Voters) == 0 || v.BootstrapSize < 1 {
		return
	}
	n.adoptAllocation(v.Allocation)
	n.view, n.record.View, n.viewHash = v, v, v.Hash()
	if n.cfg.BootstrapSlot >= v.BootstrapSize { // a chain that was founded with fewer: this relay has none of its places
		n.cfg.BootstrapSlot = -1
	}
	n.record.Accepted, n.record.AcceptedBallot, n.viewAcceptedAt = nil, Ballot{}, -1
	n.proposal, n.changeWantedSince, n.viewAdoptedAt, n.nextRenewalAt = nil, -1, n.now, n.now
	n.saveRecord()
	n.emit(Changed{Kind: ChangeView, State: v.summary()})
	n.publish(true)
}
