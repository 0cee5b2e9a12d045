package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// ballotTimeout is the time after which a proposal is abandoned if no majority of the voters has accepted
	// its view.
	ballotTimeout = 500 * time.Millisecond
	// proposerStagger is how much longer a voter waits before it proposes, for each alive voter that precedes
	// it in the view. The random delay after an abandoned proposal is based on this duration, too.
	proposerStagger = 400 * time.Millisecond
	// acceptedTimeout is the time after which a voter proposes the view that it has accepted once more, by a
	// ballot of its own, if no relay has announced by then that this view is chosen.
	acceptedTimeout = 600 * time.Millisecond
)

// voting is the state that a voter keeps in memory about the choice of the next view, in addition to its
// Record on disk.
//
// Invariants: there is at most one proposal. When the proposal starts, its ballot is higher than all ballots
// that this relay has promised or seen. The proposal is for the view after the current one, and ends when a
// view is adopted. viewAcceptedAt is negative if and only if the Record has no accepted view.
type voting struct {
	proposal          *proposal     // by this relay, nil for none
	highestRound      uint64        // the highest round of all ballots seen
	nextProposalAt    time.Duration // earliest time of the next proposal
	changeWantedSince time.Duration // since when this relay wants another view, negative if it wants none
	viewAcceptedAt    time.Duration // since when the Record has an accepted view, negative if it has none
}

// proposal is a proposal of a view, by this relay and with one ballot.
type proposal struct {
	ballot                Ballot
	startedAt             time.Duration
	proposedView          *View               // nil while the proposal waits for promises
	highestAcceptedBallot Ballot              // the highest with an accepted view in the promises
	highestAcceptedView   *View               // the view accepted by highestAcceptedBallot, nil for none
	promises              map[string][]string // by voter: the relays that the voter reports as unavailable
	acceptances           map[string]bool     // by voter: whether the voter has accepted proposedView
}

// startProposal starts a proposal with a ballot that is higher than all ballots promised or seen by this
// relay.
func (v *voting) startProposal(name string, promised Ballot, now time.Duration) *proposal {
	v.highestRound = max(v.highestRound, promised.Round) + 1
	v.proposal = &proposal{
		ballot:      Ballot{v.highestRound, name},
		startedAt:   now,
		promises:    map[string][]string{},
		acceptances: map[string]bool{},
	}
	return v.proposal
}

// abandon ends the proposal. This relay may start another proposal after a random delay.
func (v *voting) abandon(now time.Duration, rng *rand.Rand) {
	v.proposal = nil
	v.nextProposalAt = now + duration.Scale(proposerStagger, 0.25+rng.Float64())
}

// timedOut reports whether the proposal has not been accepted by a majority of the voters within
// ballotTimeout.
func (v *voting) timedOut(now time.Duration) bool {
	return v.proposal != nil && now >= v.proposal.startedAt+ballotTimeout
}

// takeoverDue reports whether the view that this voter has accepted has not been announced as chosen within
// acceptedTimeout, so that this relay must propose the view itself.
func (v *voting) takeoverDue(now time.Duration) bool {
	return v.viewAcceptedAt >= 0 && now >= v.viewAcceptedAt+acceptedTimeout
}

// noteChangeWanted records whether this relay wants another view, and since when.
func (v *voting) noteChangeWanted(wanted bool, now time.Duration) {
	switch {
	case !wanted:
		v.changeWantedSince = -1
	case v.changeWantedSince < 0:
		v.changeWantedSince = now
	}
}

// onViewAdopted clears the state of the choice that has ended with the adoption of a view.
func (v *voting) onViewAdopted() {
	v.proposal = nil
	v.changeWantedSince = -1
	v.viewAcceptedAt = -1
}

// addPromise counts a voter's promise. If voters have accepted views already, the relay must propose the view
// that was accepted by the highest ballot. Of two views accepted by the same ballot the relay proposes the
// one with an Allocation, because an older program drops the Allocation from a view.
func (p *proposal) addPromise(voter string, m Message) {
	p.promises[voter] = m.Unavailable
	if m.View == nil {
		return
	}
	higher := p.highestAcceptedView == nil || p.highestAcceptedBallot.less(m.AcceptedBallot)
	if higher || p.highestAcceptedBallot == m.AcceptedBallot && p.highestAcceptedView.Allocation == nil {
		p.highestAcceptedBallot, p.highestAcceptedView = m.AcceptedBallot, m.View
	}
}

// reportsUnavailable reports whether the promises exclude a relay from the next view. A member is excluded if
// a majority of the voters reports it as unavailable; any other relay is excluded unless a majority of the
// voters has promised without reporting it. The next proposer needs a majority too, so voters that disagree
// about a relay cannot add and remove the relay in turn, and the broken link of one voter removes no member.
func (p *proposal) reportsUnavailable(name string, view *View) bool {
	unavailable := 0
	for _, names := range p.promises {
		if slices.Contains(names, name) {
			unavailable++
		}
	}
	if view.Entry(name).IsMember {
		return unavailable >= view.majority()
	}
	return len(p.promises)-unavailable < view.majority()
}
