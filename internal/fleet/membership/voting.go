package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// ballotTimeout is how long a ballot may take to find a majority.
	ballotTimeout = 500 * time.Millisecond
	// proposerStagger is by how much each voter waits longer than the one before it, before it proposes.
	proposerStagger = 400 * time.Millisecond
	// acceptedTimeout is after how long an accepted view is proposed anew, if nobody has said that it is
	// chosen.
	acceptedTimeout = 600 * time.Millisecond
)

// voting is what a voter remembers of the choice of the next view, beside what its record has.
//
// Invariants: there is at most one proposal, by a ballot higher than all that this relay has promised or
// met; it is for the view that follows the one held, and ends when a view is adopted. viewAcceptedAt is
// negative if and only if the record has no accepted view.
type voting struct {
	proposal          *proposal     // this relay's own, nil for none
	highestRound      uint64        // the highest met
	nextProposalAt    time.Duration // no proposal before this
	changeWantedSince time.Duration // since when another view is wanted; negative: none is
	viewAcceptedAt    time.Duration // since when a view is accepted here and not chosen
}

// proposal is a ballot of this relay's own.
type proposal struct {
	ballot          Ballot
	startedAt       time.Duration
	proposed        *View // nil while promises are awaited
	highestBallot   Ballot
	highestAccepted *View               // what was accepted by it, by the promises that have come
	promises        map[string][]string // by voter: the members that it takes for unavailable
	acceptances     map[string]bool     // by voter
}

// start begins a proposal by a ballot over all that were promised or met.
func (v *voting) start(name string, promised Ballot, now time.Duration) *proposal {
	v.highestRound = max(v.highestRound, promised.Round) + 1
	v.proposal = &proposal{
		ballot:      Ballot{v.highestRound, name},
		startedAt:   now,
		promises:    map[string][]string{},
		acceptances: map[string]bool{},
	}
	return v.proposal
}

// abandon ends the proposal; another may follow after a while drawn at random.
func (v *voting) abandon(now time.Duration, rng *rand.Rand) {
	v.proposal = nil
	v.nextProposalAt = now + duration.Scale(proposerStagger, 0.25+rng.Float64())
}

// timedOut tells whether the proposal has found no majority in time.
func (v *voting) timedOut(now time.Duration) bool {
	return v.proposal != nil && now >= v.proposal.startedAt+ballotTimeout
}

// takeoverDue tells whether an accepted view has waited so long that this relay has to see to its choice.
func (v *voting) takeoverDue(now time.Duration) bool {
	return v.viewAcceptedAt >= 0 && now >= v.viewAcceptedAt+acceptedTimeout
}

// noteChangeWanted notes since when another view is wanted.
func (v *voting) noteChangeWanted(wanted bool, now time.Duration) {
	switch {
	case !wanted:
		v.changeWantedSince = -1
	case v.changeWantedSince < 0:
		v.changeWantedSince = now
	}
}

// viewAdopted ends all that was about the view before.
func (v *voting) viewAdopted() {
	v.proposal = nil
	v.changeWantedSince = -1
	v.viewAcceptedAt = -1
}

// addPromise counts a voter's promise. What it has accepted binds the proposal if it is by the highest
// ballot; of two by the same ballot the one with an Allocation, as an older program drops that.
func (p *proposal) addPromise(voter string, m Message) {
	p.promises[voter] = m.Unavailable
	if m.View == nil {
		return
	}
	higher := p.highestAccepted == nil || p.highestBallot.less(m.AcceptedBallot)
	if higher || p.highestBallot == m.AcceptedBallot && p.highestAccepted.Allocation == nil {
		p.highestBallot, p.highestAccepted = m.AcceptedBallot, m.View
	}
}

// reportsUnavailable tells whether a relay is to be out of the next view: a member once a majority of the
// voters takes it for unavailable, another relay until a majority does not. Whoever proposes next needs a
// majority too, so that no two voters take a relay in and out by turns; and one relay's broken link puts
// nobody out.
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
