package membership

import (
	"math"
	"slices"
)

// The margin. A voter that has accepted the next view renews nobody in the one before, so that no lease of an old
// view is renewed after the new one is chosen. Whoever holds the lease stops in time by its own clock:
//
//	valid until   = when the renewal was sent + LeaseFor*(1-Drift) - Grace
//	a limit waits = LeaseFor*(1+Drift) from the new view's adoption
//	Grace         = 250 (from a look at the share to the end of what is done by it) + 250 (to spare)
const (
	LeaseDuration     = 4000.0
	MaxClockDrift     = 1.0 / 20 // by how much a relay's clock may run fast or slow
	LeaseSafetyMargin = MaxEffectDelay + 250
	// MaxEffectDelay is the longest from a look at the share to the end of what is done by it.
	MaxEffectDelay = 250.0
	// RenewInterval leaves three tries in the time that a lease is valid.
	RenewInterval = 1000.0
	// WaitOut is how long after a view's adoption nobody acts by an earlier one any more.
	WaitOut = LeaseDuration * (1 + MaxClockDrift)
)

// releaseSlot hands this relay's place over to the fleet, once a majority that can make a view is heard. From the moment
// it is on disk the relay takes nothing but what a view grants.
func (n *Node) releaseSlot() {
	if n.record.SlotReleased || n.storageFailed || n.local.Lifecycle == Leaving {
		return
	}
	ready := false
	if n.view.Epoch == 0 {
		ready = n.votersAlive() >= n.view.majority()
		for _, p := range n.sorted() { // or the fleet is older than this relay
			ready = ready || p.Health == Alive && p.StatusAt >= 0 && p.Status.Epoch > 0
		}
	} else {
		ready = n.votersAlive() >= n.view.majority()
	}
	if ready {
		n.record.SlotReleased, n.slotReleasedAt = true, n.now
		n.saveRecord()
		n.publish(true)
	}
}

// renewLease asks the voters for another while.
func (n *Node) renewLease() {
	if n.view.Epoch == 0 || !n.view.Member(n.cfg.Name).In || n.now < n.nextRenewalAt || n.storageFailed {
		return
	}
	n.nextRenewalAt = n.now + RenewInterval*n.leaseScale()
	for _, v := range n.view.Voters {
		n.send(v, Message{Kind: Renew, Epoch: n.view.Epoch, SentAtMillis: n.now, Plan: n.view.Allocation.plan()})
	}
}

// extendLease works out until when the share may be taken.
func (n *Node) extendLease() {
	sent := make([]float64, 0, MaxVoters)
	for _, v := range n.view.Voters {
		if at, ok := n.renewalSentAt[v]; ok {
			sent = append(sent, at)
		}
	}
	if need := n.view.half(); len(sent) >= need {
		slices.SortFunc(sent, func(a, b float64) int {
			if a > b {
				return -1
			}
			return 1
		})
		n.leaseValidUntil = max(n.leaseValidUntil, sent[need-1]+n.leaseDuration*n.leaseScale()*(1-MaxClockDrift)-n.safetyMargin)
	}
}

// BudgetShare is what this relay may take of a budget right now; where there are cells, of that of a server in its near zones.
func (n *Node) BudgetShare(now float64) float64 {
	share, _, _ := n.budgetShare(max(now, n.now))
	near, _ := n.view.Allocation.budgetShares(share)
	return near
}

// budgetShare is what this relay may take now of its cell's part, or of the whole without cells, until when, and why.
func (n *Node) budgetShare(now float64) (share, until float64, why string) {
	seat := n.view.Member(n.cfg.Name)
	switch {
	case !(n.record.SlotReleased && n.releasesSlots) && slices.Contains(n.view.UnreleasedSlots, n.cfg.BootstrapSlot):
		return float64(n.view.slotShare()) / float64(Whole), math.Inf(1), "its place's, by the settings' number"
	case !n.record.SlotReleased:
		return 0, math.Inf(1), "none: it has no place, and no view grants it any"
	case !seat.In:
		return 0, math.Inf(1), "none: it has handed its place over and is in no view yet"
	case n.local.Lifecycle == Leaving:
		return 0, math.Inf(1), "none: it leaves"
	case now >= n.leaseValidUntil:
		return 0, math.Inf(1), "none: its grant has run out"
	}
	return float64(seat.BudgetShare) / float64(Whole), n.leaseValidUntil, "granted in the view"
}
