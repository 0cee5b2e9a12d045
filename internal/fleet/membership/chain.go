package membership

import "time"

// chain holds the newest view that this relay knows to be chosen.
//
// Invariants: the epoch never falls; the view is that of the record, or view 0 if the record has none;
// viewHash is the hash of the view.
type chain struct {
	view          *View
	viewHash      uint64
	viewAdoptedAt time.Duration // when this process adopted it, or when the process started
}

// adoptView makes a chosen view the one held. A view that is not newer is ignored, with one exception: if an
// older program has stored the view held without its Allocation, the same view with it is taken.
func (n *Node) adoptView(v *View) {
	if n.restoresAllocation(v) {
		n.setView(v)
		n.plans.adoptedAt = n.now
		n.saveRecord()
		n.publish(true)
		return
	}
	if v == nil || v.Epoch <= n.view.Epoch || len(v.Voters) == 0 || v.BootstrapSize < 1 {
		return
	}
	n.noteAllocation(v.Allocation)
	n.setView(v)
	n.viewAdoptedAt = n.now
	// The chain was bootstrapped with fewer slots than this relay's number: the relay has none of them.
	if n.slot.number >= v.BootstrapSize {
		n.slot.number = -1
	}
	n.record.AcceptedView, n.record.AcceptedBallot = nil, Ballot{}
	n.voting.onViewAdopted()
	n.lease.nextRenewalAt = n.now
	n.saveRecord()
	n.emit(StateChanged{Kind: ChangeView, State: v.summary()})
	n.publish(true)
	n.answerDeferredRenewals()
}

// setView makes a view the one held, and puts it into the record.
func (n *Node) setView(v *View) {
	n.view, n.record.View, n.viewHash = v, v, v.Hash()
}
