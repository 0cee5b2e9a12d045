package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// The margin. A voter that has accepted the next view renews nobody in the one before, so that no lease
// of an old view is renewed after the new one is chosen. Whoever holds the lease stops in time by its own
// clock:
//
//	valid until       = when the renewal was sent + LeaseDuration*(1-MaxClockDrift) - LeaseSafetyMargin
//	a limit waits     = LeaseDuration*(1+MaxClockDrift) from the new view's adoption
//	LeaseSafetyMargin = MaxEffectDelay + 250 ms to spare
const (
	// LeaseDuration is that of a flat fleet; an Allocation may have another.
	LeaseDuration = leaseMillis * time.Millisecond
	leaseMillis   = 4000
	// MaxClockDrift is by how much a relay's clock may run fast or slow, as a part of the time.
	MaxClockDrift     = 1.0 / 20
	LeaseSafetyMargin = MaxEffectDelay + 250*time.Millisecond
	// MaxEffectDelay is the longest from a read of the share to the end of what is done by it.
	MaxEffectDelay = 250 * time.Millisecond
	// RenewInterval leaves three attempts in the time that a lease is valid.
	RenewInterval = time.Second
	// EarlierViewsExpireAfter is how long after a view's adoption nobody acts by an earlier one any more.
	EarlierViewsExpireAfter = leaseMillis * (1 + MaxClockDrift) * time.Millisecond
)

// lease is this relay's right to act by its share of the view held, renewed by half of the voters.
//
// Invariants: validUntil never falls; it rises only to what half of the voters held have renewed, counted
// from when they were asked.
type lease struct {
	renewalSentAt map[string]time.Duration // by voter: when the newest renewal that it answered was sent
	validUntil    time.Duration            // before this the share may be taken
	nextRenewalAt time.Duration
}

// noteRenewal notes that a voter has answered a renewal that was sent at a time.
func (l *lease) noteRenewal(voter string, sentAt time.Duration) {
	l.renewalSentAt[voter] = max(l.renewalSentAt[voter], sentAt)
}

// extend works out until when half of a view's voters have renewed the lease, each for a time from when
// it was asked.
func (l *lease) extend(view *View, validFor time.Duration) {
	sent := make([]time.Duration, 0, MaxVoters)
	for _, v := range view.Voters {
		if at, ok := l.renewalSentAt[v]; ok {
			sent = append(sent, at)
		}
	}
	need := view.half()
	if len(sent) < need {
		return
	}
	slices.SortFunc(sent, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	l.validUntil = max(l.validUntil, sent[need-1]+validFor)
}

// valid tells whether the share may be taken.
func (l *lease) valid(now time.Duration) bool { return now < l.validUntil }

// deferredRenewals are, by member, the newest Renew of a view that this voter does not hold yet.
type deferredRenewals map[string]Message

// answerDeferredRenewals answers, once a view is adopted, the members that have asked by it before. To them it
// is as if the Renew had been under way until now: a renewal counts from when it was sent.
func (n *Node) answerDeferredRenewals() {
	for _, member := range slices.Sorted(maps.Keys(n.deferred)) {
		renew := n.deferred[member]
		if renew.Epoch > n.view.Epoch {
			continue
		}
		delete(n.deferred, member)
		if renew.Epoch == n.view.Epoch {
			n.onMessage(member, renew)
		}
	}
}

// releaseSlot releases this relay's slot, once a majority that can make a view is alive. From
// the moment that is on disk the relay takes nothing but what a view grants.
func (n *Node) releaseSlot() {
	if n.record.SlotReleased || n.storageFailed || n.local.Lifecycle == LifecycleLeaving {
		return
	}
	if n.votersAlive() < n.view.majority() && !n.joinsOlderFleet() {
		return
	}
	n.record.SlotReleased, n.slot.releasedAt = true, n.now
	n.saveRecord()
	n.publish(true)
}

// joinsOlderFleet tells whether this relay holds no view yet, and a peer does.
func (n *Node) joinsOlderFleet() bool {
	holdsView := func(p *Peer) bool { return p.Health == HealthAlive && p.hasStatus() && p.Status.Epoch > 0 }
	return n.view.Epoch == 0 && slices.ContainsFunc(n.peers.sorted, holdsView)
}

// renewLease asks the voters to renew the lease, where that is due.
func (n *Node) renewLease() {
	if n.view.Epoch == 0 || !n.view.Entry(n.cfg.Name).IsMember || n.now < n.lease.nextRenewalAt ||
		n.storageFailed {
		return
	}
	n.lease.nextRenewalAt = n.now + duration.Scale(RenewInterval, n.leaseScale())
	renew := Message{
		Kind: RenewLease, Epoch: n.view.Epoch, Plan: n.view.Allocation.plan(),
		SentAtMillis: duration.Millis(n.now),
	}
	for _, v := range n.view.Voters {
		n.send(v, renew)
	}
}

// leaseScale is how much longer leases are in this chain than in a flat fleet.
func (n *Node) leaseScale() float64 {
	if a := n.view.Allocation; a != nil && a.LeaseMillis > 0 {
		return float64(a.LeaseMillis) / leaseMillis
	}
	return 1
}

// leaseValidFor is how long a renewal may be relied on, from when it was asked for.
func (n *Node) leaseValidFor() time.Duration {
	byOwnClock := duration.Scale(n.safeguards.leaseDuration, n.leaseScale()*(1-MaxClockDrift))
	return byOwnClock - n.safeguards.safetyMargin
}

// earlierViewsExpireAfter is how long after a view's adoption nobody acts by an earlier one any more.
func (n *Node) earlierViewsExpireAfter() time.Duration {
	return duration.Scale(n.safeguards.waitOut, n.leaseScale())
}

// BudgetShare is what this relay may take of a budget right now; where there are cells, of that of a
// server in its near zones.
func (n *Node) BudgetShare(now time.Duration) float64 {
	share, _, _ := n.budgetShare(max(now, n.now))
	near, _ := n.view.Allocation.budgetShares(share)
	return near
}

// budgetShare is what this relay may take now of its cell's part, or of the full budget without cells, until
// when, and why.
func (n *Node) budgetShare(now time.Duration) (share float64, until time.Duration, reason string) {
	member := n.view.Entry(n.cfg.Name)
	released := n.record.SlotReleased && n.safeguards.releasesSlots
	switch {
	case !released && slices.Contains(n.view.UnreleasedSlots, n.slot.number):
		return fraction(n.view.slotShare()), duration.DistantFuture,
			"its slot's, by the configured number of relays"
	case !n.record.SlotReleased:
		return 0, duration.DistantFuture, "none: it has no slot, and no view grants it a share"
	case !member.IsMember:
		return 0, duration.DistantFuture, "none: it has released its slot and is in no view yet"
	case n.local.Lifecycle == LifecycleLeaving:
		return 0, duration.DistantFuture, "none: it is leaving"
	case !n.lease.valid(now):
		return 0, duration.DistantFuture, "none: its lease has expired"
	}
	return fraction(member.BudgetShare), n.lease.validUntil, "granted in the view"
}
