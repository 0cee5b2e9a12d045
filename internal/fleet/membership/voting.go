package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// ballotTimeout is how long a ballot may take to get a majority.
	ballotTimeout = 500 * time.Millisecond
	// proposerStagger is how much longer each voter waits before it proposes than the voter before it.
	proposerStagger = 400 * time.Millisecond
	// acceptedTimeout is the time after which an accepted view is proposed anew if no relay has announced
	// that it is chosen.
	acceptedTimeout = 600 * time.Millisecond
)

// voting is what a voter keeps about the choice of the next view, in addition to its record.
//
// Invariants: there is at most one proposal. Its ballot is higher than all that this relay has promised or
// seen, it is for the view after the one held, and it ends when a view is adopted. viewAcceptedAt is negative
// if and only if the record has no accepted view.
type voting struct {
	proposal          *proposal     // of this relay, nil for none
	highestRound      uint64        // of all ballots seen
	nextProposalAt    time.Duration // earliest time of the next proposal
	changeWantedSince time.Duration // since when another view is wanted, negative if none is
	viewAcceptedAt    time.Duration // since when a view is accepted here but not known to be chosen
}

// proposal is this relay's proposal of a view by one ballot.
type proposal struct {
	ballot                Ballot
	startedAt             time.Duration
	proposedView          *View // nil while the proposal waits for promises
	highestAcceptedBallot Ballot
	highestAcceptedView   *View               // accepted by highestAcceptedBallot, as the promises say
	promises              map[string][]string // by voter: the relays that it takes for unavailable
	acceptances           map[string]bool     // by voter
}

// startProposal starts a proposal by a ballot higher than all that were promised or seen.
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

// abandon ends the proposal. The next one may follow after a random delay.
func (v *voting) abandon(now time.Duration, rng *rand.Rand) {
	v.proposal = nil
	v.nextProposalAt = now + duration.Scale(proposerStagger, 0.25+rng.Float64())
}

// timedOut reports whether the proposal has got no majority in time.
func (v *voting) timedOut(now time.Duration) bool {
	return v.proposal != nil && now >= v.proposal.startedAt+ballotTimeout
}

// takeoverDue reports whether an accepted view has waited so long that this relay must propose it itself.
func (v *voting) takeoverDue(now time.Duration) bool {
	return v.viewAcceptedAt >= 0 && now >= v.viewAcceptedAt+acceptedTimeout
}

// noteChangeWanted records since when another view is wanted.
func (v *voting) noteChangeWanted(wanted bool, now time.Duration) {
	switch {
	case !wanted:
		v.changeWantedSince = -1
	case v.changeWantedSince < 0:
		v.changeWantedSince = now
	}
}

// onViewAdopted clears what concerns the view before.
func (v *voting) onViewAdopted() {
	v.proposal = nil
	v.changeWantedSince = -1
	v.viewAcceptedAt = -1
}

// addPromise counts a voter's promise. Of the views that voters have accepted, the proposal must take the one
// accepted by the highest ballot. Of two accepted by the same ballot it takes the one with an Allocation,
// because an older program drops the Allocation.
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

// reportsUnavailable reports whether a relay is to be out of the next view: a member if a majority of the
// voters takes it for unavailable, another relay unless a majority does not. The next proposer needs a
// majority too, so voters that disagree cannot add and remove a relay in turn, and one relay's broken link
// removes no member.
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
