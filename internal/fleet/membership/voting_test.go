package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A proposal must take the view accepted by the highest ballot, and of two by the same ballot the one that
// has kept its Allocation. Any other choice could replace a view that is chosen already.
func TestProposalTakesTheHighestAccepted(t *testing.T) {
	plain, withAllocation := &View{Epoch: 2}, &View{Epoch: 2, Allocation: &Allocation{Plan: 2}}
	low, high := Ballot{1, "a"}, Ballot{2, "a"}
	for name, c := range map[string]struct {
		promises []Message
		want     *View
	}{
		"nothing accepted": {[]Message{{}, {}}, nil},
		"one":              {[]Message{{}, {View: plain, AcceptedBallot: low}}, plain},
		"a higher one later": {[]Message{{View: plain, AcceptedBallot: low},
			{View: withAllocation, AcceptedBallot: high}}, withAllocation},
		"a lower one later": {[]Message{{View: withAllocation, AcceptedBallot: high},
			{View: plain, AcceptedBallot: low}}, withAllocation},
		"with its Allocation": {[]Message{{View: plain, AcceptedBallot: low},
			{View: withAllocation, AcceptedBallot: low}}, withAllocation},
		"its Allocation is first": {[]Message{{View: withAllocation, AcceptedBallot: low},
			{View: plain, AcceptedBallot: low}}, withAllocation},
	} {
		t.Run(name, func(t *testing.T) {
			var v voting
			p := v.startProposal("me", Ballot{}, 0)
			for i, m := range c.promises {
				p.addPromise([]string{"a", "b"}[i], m)
			}
			if p.highestAcceptedView != c.want || len(p.promises) != len(c.promises) {
				t.Errorf("got the view %+v from %d promises, want %+v",
					p.highestAcceptedView, len(p.promises), c.want)
			}
		})
	}
}

// The ballot of a proposal is higher than all that were promised or seen. After a proposal is abandoned the
// next one waits, and a proposal without a majority in time is over. Otherwise two proposers could outbid
// each other for ever.
func TestProposalsByRisingBallots(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	v := voting{changeWantedSince: -1, viewAcceptedAt: -1}
	first := v.startProposal("me", Ballot{Round: 4}, time.Second)
	if first.ballot != (Ballot{5, "me"}) || v.timedOut(time.Second+ballotTimeout-1) ||
		!v.timedOut(time.Second+ballotTimeout) {
		t.Errorf("got the first proposal %+v, want round 5, and its time-out after ballotTimeout", first)
	}
	v.abandon(time.Second, rng)
	if v.proposal != nil || v.timedOut(time.Hour) || v.nextProposalAt < time.Second+proposerStagger/4 {
		t.Errorf("after abandon: got %+v, want no proposal and a delay before the next", v)
	}
	v.highestRound = 9
	if second := v.startProposal("me", Ballot{Round: 4}, 2*time.Second); second.ballot.Round != 10 {
		t.Errorf("got the second ballot %+v, want round 10", second.ballot)
	}
	v.noteChangeWanted(true, 3*time.Second)
	v.noteChangeWanted(true, 4*time.Second)
	v.viewAcceptedAt = 3 * time.Second
	if v.changeWantedSince != 3*time.Second || v.takeoverDue(3*time.Second) ||
		!v.takeoverDue(3*time.Second+acceptedTimeout) {
		t.Errorf("got %+v, want a change wanted since 3 s, and a takeover due after acceptedTimeout", v)
	}
	if v.onViewAdopted(); v.proposal != nil || v.changeWantedSince >= 0 || v.takeoverDue(time.Hour) {
		t.Errorf("after a view was adopted: got %+v, want no proposal, no change wanted, no takeover", v)
	}
}

// A record promises and accepts by ballots that never fall. Otherwise voters could choose two views for one
// epoch.
func TestRecordKeepsToItsPromise(t *testing.T) {
	var r Record
	view := &View{Epoch: 1}
	if !r.promise(Ballot{2, "b"}) || r.promise(Ballot{2, "a"}) || r.accept(Ballot{1, "z"}, view) ||
		r.AcceptedView != nil {
		t.Errorf("got the record %+v, want lower ballots rejected after a promise", r)
	}
	if !r.accept(Ballot{2, "b"}, view) || r.AcceptedView != view || r.AcceptedBallot != r.PromisedBallot {
		t.Errorf("got the record %+v, want the view accepted by the promised ballot", r)
	}
}
