package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A proposal takes what was accepted by the highest ballot; of two by the same ballot the one that has
// kept its Allocation. Any other could undo what is chosen.
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
				t.Errorf("took %+v of %d promises, want %+v", p.highestAcceptedView, len(p.promises), c.want)
			}
		})
	}
}

// A proposal's ballot is over all that were promised or met; one that is given up waits before the next,
// and one that finds no majority in time is over. Otherwise two proposers could go on outbidding each
// other.
func TestProposalsByRisingBallots(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	v := voting{changeWantedSince: -1, viewAcceptedAt: -1}
	first := v.startProposal("me", Ballot{Round: 4}, time.Second)
	if first.ballot != (Ballot{5, "me"}) || v.timedOut(time.Second+ballotTimeout-1) ||
		!v.timedOut(time.Second+ballotTimeout) {
		t.Errorf("the first proposal is %+v", first)
	}
	v.abandon(time.Second, rng)
	if v.proposal != nil || v.timedOut(time.Hour) || v.nextProposalAt < time.Second+proposerStagger/4 {
		t.Errorf("after giving up: %+v", v)
	}
	v.highestRound = 9
	if second := v.startProposal("me", Ballot{Round: 4}, 2*time.Second); second.ballot.Round != 10 {
		t.Errorf("the second ballot is %+v", second.ballot)
	}
	v.noteChangeWanted(true, 3*time.Second)
	v.noteChangeWanted(true, 4*time.Second)
	v.viewAcceptedAt = 3 * time.Second
	if v.changeWantedSince != 3*time.Second || v.takeoverDue(3*time.Second) ||
		!v.takeoverDue(3*time.Second+acceptedTimeout) {
		t.Errorf("wanted and accepted: %+v", v)
	}
	if v.onViewAdopted(); v.proposal != nil || v.changeWantedSince >= 0 || v.takeoverDue(time.Hour) {
		t.Errorf("after a view was adopted: %+v", v)
	}
}

// A record promises and accepts by ballots that don't fall: a voter that forgot this could let two views
// be chosen.
func TestRecordKeepsToItsPromise(t *testing.T) {
	var r Record
	view := &View{Epoch: 1}
	if !r.promise(Ballot{2, "b"}) || r.promise(Ballot{2, "a"}) || r.accept(Ballot{1, "z"}, view) ||
		r.AcceptedView != nil {
		t.Errorf("a lower ballot counted: %+v", r)
	}
	if !r.accept(Ballot{2, "b"}, view) || r.AcceptedView != view || r.AcceptedBallot != r.PromisedBallot {
		t.Errorf("the promised ballot did not count: %+v", r)
	}
}
