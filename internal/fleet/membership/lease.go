package membership

import (
	"cmp"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// The margin. A voter that has accepted the next view renews nobody in the one before, so that no lease of an old
// view is renewed after the new one is chosen. Whoever holds the lease stops in time by its own clock:
//
//	valid until       = when the renewal was sent + LeaseDuration*(1-MaxClockDrift) - LeaseSafetyMargin
//	a limit waits     = LeaseDuration*(1+MaxClockDrift) from the new view's adoption
//	LeaseSafetyMargin = MaxEffectDelay (from a look at the share to the end of what is done by it) + 250 ms (to spare)
const (
	// LeaseDuration is that of a flat fleet; an Allocation may have another.
	LeaseDuration = leaseMillis * time.Millisecond
	leaseMillis   = 4000
	// MaxClockDrift is by how much a relay's clock may run fast or slow, as a part of the time.
	MaxClockDrift     = 1.0 / 20
	LeaseSafetyMargin = MaxEffectDelay + 250*time.Millisecond
	// MaxEffectDelay is the longest from a look at the share to the end of what is done by it.
	MaxEffectDelay = 250 * time.Millisecond
	// RenewInterval leaves three attempts in the time that a lease is valid.
	RenewInterval = time.Second
	// WaitOut is how long after a view's adoption nobody acts by an earlier one any more.
	WaitOut = leaseMillis * (1 + MaxClockDrift) * time.Millisecond
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
	n.nextRenewalAt = n.now + duration.Scale(RenewInterval, n.leaseScale())
	for _, v := range n.view.Voters {
		n.send(v, Message{Kind: Renew, Epoch: n.view.Epoch, SentAtMillis: duration.Millis(n.now), Plan: n.view.Allocation.plan()})
	}
}

// extendLease works out until when the share may be taken.
func (n *Node) extendLease() {
	sent := make([]time.Duration, 0, MaxVoters)
	for _, v := range n.view.Voters {
		if at, ok := n.renewalSentAt[v]; ok {
			sent = append(sent, at)
		}
	}
	if need := n.view.half(); len(sent) >= need {
		slices.SortFunc(sent, func(a, b time.Duration) int { return cmp.Compare(b, a) })
		validFor := duration.Scale(n.leaseDuration, n.leaseScale()*(1-MaxClockDrift)) - n.safetyMargin
		n.leaseValidUntil = max(n.leaseValidUntil, sent[need-1]+validFor)
	}
}

// BudgetShare is what this relay may take of a budget right now; where there are cells, of that of a server in its near zones.
func (n *Node) BudgetShare(now time.Duration) float64 {
	share, _, _ := n.budgetShare(max(now, n.now))
	near, _ := n.view.Allocation.budgetShares(share)
	return near
}

// budgetShare is what this relay may take now of its cell's part, or of the whole without cells, until when, and why.
func (n *Node) budgetShare(now time.Duration) (share float64, until time.Duration, why string) {
	seat := n.view.Member(n.cfg.Name)
	switch {
	case !(n.record.SlotReleased && n.releasesSlots) && slices.Contains(n.view.UnreleasedSlots, n.cfg.BootstrapSlot):
		return float64(n.view.slotShare()) / float64(Whole), duration.Forever, "its place's, by the settings' number"
	case !n.record.SlotReleased:
		return 0, duration.Forever, "none: it has no place, and no view grants it any"
	case !seat.In:
		return 0, duration.Forever, "none: it has handed its place over and is in no view yet"
	case n.local.Lifecycle == Leaving:
		return 0, duration.Forever, "none: it leaves"
	case now >= n.leaseValidUntil:
		return 0, duration.Forever, "none: its grant has run out"
	}
	return float64(seat.BudgetShare) / float64(Whole), n.leaseValidUntil, "granted in the view"
}
