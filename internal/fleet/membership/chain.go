package membership

import "time"

// chain is the newest view that this relay knows to be chosen.
//
// Invariants: the epoch never falls; the view is the record's, or view 0 if that has none; viewHash is
// its Hash.
type chain struct {
	view          *View
	viewHash      uint64
	viewAdoptedAt time.Duration // by this process, or when it started
}

// adoptView takes up a view that is chosen. One that is no newer is left alone, but for the one held with
// the Allocation that an older program has dropped.
func (n *Node) adoptView(v *View) {
	if n.restoresAllocation(v) {
		n.holdView(v)
		n.plans.adoptedAt = n.now
		n.saveRecord()
		n.publish(true)
		return
	}
	if v == nil || v.Epoch <= n.view.Epoch || len(v.Voters) == 0 || v.BootstrapSize < 1 {
		return
	}
	n.adoptAllocation(v.Allocation)
	n.holdView(v)
	n.viewAdoptedAt = n.now
	// a chain that was bootstrapped with fewer: this relay has none of its slots
	if n.slot.number >= v.BootstrapSize {
		n.slot.number = -1
	}
	n.record.AcceptedView, n.record.AcceptedBallot = nil, Ballot{}
	n.voting.viewAdopted()
	n.lease.nextRenewalAt = n.now
	n.saveRecord()
	n.emit(StateChanged{Kind: ChangeView, State: v.summary()})
	n.publish(true)
	n.answerDeferredRenewals()
}

// holdView makes a view the one held, in the record too.
func (n *Node) holdView(v *View) {
	n.view, n.record.View, n.viewHash = v, v, v.Hash()
}
