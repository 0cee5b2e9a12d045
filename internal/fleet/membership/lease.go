package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// Lease times. A voter that has accepted the next view renews no lease of the view before, so that no lease
// of an old view is renewed once the new one is chosen. The holder of a lease stops using its share in time
// by its own clock:
//
//	valid until       = time the renewal was sent + LeaseDuration*(1-MaxClockDrift) - LeaseSafetyMargin
//	limits end after  = LeaseDuration*(1+MaxClockDrift) from the adoption of the new view
//	LeaseSafetyMargin = MaxEffectDelay + 250 ms of reserve
const (
	// LeaseDuration is the lease duration of a flat fleet. An Allocation may set another.
	LeaseDuration   = flatLeaseMillis * time.Millisecond
	flatLeaseMillis = 4000
	// MaxClockDrift is the fraction by which a relay's clock may run fast or slow.
	MaxClockDrift     = 1.0 / 20
	LeaseSafetyMargin = MaxEffectDelay + 250*time.Millisecond
	// MaxEffectDelay is the longest time from reading the share until whatever is done by it has taken
	// effect.
	MaxEffectDelay = 250 * time.Millisecond
	// RenewInterval is the time between two renewals of a lease. It leaves three attempts while a lease is
	// valid.
	RenewInterval = time.Second
	// EarlierViewsExpireAfter is the time after the adoption of a view from which on no relay acts by an
	// earlier view.
	EarlierViewsExpireAfter = flatLeaseMillis * (1 + MaxClockDrift) * time.Millisecond
)

// lease is this relay's right to use its share of the view held. It is renewed by half of the voters.
//
// Invariants: validUntil never falls. It rises only to the time until which half of the voters of the view
// held have renewed the lease, counted from when the relay asked them.
type lease struct {
	renewalSentAt map[string]time.Duration // by voter: when the newest request that it has answered was sent
	validUntil    time.Duration            // the share may be used before this time
	nextRenewalAt time.Duration
}

// noteRenewal records that a voter has answered a renewal request that was sent at a time.
func (l *lease) noteRenewal(voter string, sentAt time.Duration) {
	l.renewalSentAt[voter] = max(l.renewalSentAt[voter], sentAt)
}

// extend sets validUntil to the time until which half of the voters of a view have renewed the lease, each
// for a duration from when it was asked.
func (l *lease) extend(view *View, validFor time.Duration) {
	sent := make([]time.Duration, 0, MaxVoters)
	for _, v := range view.Voters {
		if at, ok := l.renewalSentAt[v]; ok {
			sent = append(sent, at)
		}
	}
	need := view.leaseQuorum()
	if len(sent) < need {
		return
	}
	slices.SortFunc(sent, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	l.validUntil = max(l.validUntil, sent[need-1]+validFor)
}

// valid reports whether the share may be used.
func (l *lease) valid(now time.Duration) bool { return now < l.validUntil }

// deferredRenewals holds, by member, its newest RenewLease for a view that this voter does not hold yet.
type deferredRenewals map[string]Message

// answerDeferredRenewals answers, once a view is adopted, the members that have asked for a renewal by that
// view earlier. To them it looks as if the request had been on its way until now: a renewal counts from when
// it was sent.
func (n *Node) answerDeferredRenewals() {
	for _, member := range slices.Sorted(maps.Keys(n.deferredRenewals)) {
		renew := n.deferredRenewals[member]
		if renew.Epoch > n.view.Epoch {
			continue
		}
		delete(n.deferredRenewals, member)
		if renew.Epoch == n.view.Epoch {
			n.onMessage(member, renew)
		}
	}
}

// releaseSlot releases this relay's slot once a majority that can agree on a view is alive. After the release
// is on disk the relay takes only what a view grants it.
func (n *Node) releaseSlot() {
	if n.record.SlotReleased || n.storageFailed || n.localState.Lifecycle == LifecycleLeaving {
		return
	}
	if n.aliveVoterCount() < n.view.majority() && !n.joinsExistingFleet() {
		return
	}
	n.record.SlotReleased, n.slot.releasedAt = true, n.now
	n.saveRecord()
	n.publish(true)
}

// joinsExistingFleet reports whether this relay holds no view yet while a peer does.
func (n *Node) joinsExistingFleet() bool {
	holdsView := func(p *Peer) bool { return p.Health == HealthAlive && p.hasStatus() && p.Status.Epoch > 0 }
	return n.view.Epoch == 0 && slices.ContainsFunc(n.peers.sorted, holdsView)
}

// renewLease asks the voters to renew the lease when a renewal is due.
func (n *Node) renewLease() {
	if n.view.Epoch == 0 || !n.view.Entry(n.cfg.Name).IsMember || n.now < n.lease.nextRenewalAt ||
		n.storageFailed {
		return
	}
	n.lease.nextRenewalAt = n.now + duration.Scale(RenewInterval, n.leaseScale())
	renew := Message{
		Kind: RenewLease, Epoch: n.view.Epoch, Plan: n.view.Allocation.planNumber(),
		SentAtMillis: duration.Millis(n.now),
	}
	for _, v := range n.view.Voters {
		n.send(v, renew)
	}
}

// leaseScale returns the lease duration of this chain as a multiple of that of a flat fleet.
func (n *Node) leaseScale() float64 {
	if a := n.view.Allocation; a != nil && a.LeaseMillis > 0 {
		return float64(a.LeaseMillis) / flatLeaseMillis
	}
	return 1
}

// leaseValidity returns for how long a renewal holds, from when it was asked for.
func (n *Node) leaseValidity() time.Duration {
	byOwnClock := duration.Scale(n.safeguards.leaseDuration, n.leaseScale()*(1-MaxClockDrift))
	return byOwnClock - n.safeguards.safetyMargin
}

// earlierViewsExpireAfter returns the time after the adoption of a view from which on no relay acts by an
// earlier view. It grows with the lease duration.
func (n *Node) earlierViewsExpireAfter() time.Duration {
	return duration.Scale(n.safeguards.earlierViewsExpireAfter, n.leaseScale())
}

// BudgetShare returns what fraction of a budget this relay may take now. In a fleet of cells it is that of a
// server in the cell's near zones.
func (n *Node) BudgetShare(now time.Duration) float64 {
	share, _, _ := n.budgetShare(max(now, n.now))
	near, _ := n.view.Allocation.budgetShares(share)
	return near
}

// budgetShare returns what fraction this relay may take now of its cell's budget, or of the full budget
// without cells, until when, and why.
func (n *Node) budgetShare(now time.Duration) (share float64, until time.Duration, reason string) {
	member := n.view.Entry(n.cfg.Name)
	released := n.record.SlotReleased && n.safeguards.releasesSlots
	switch {
	case !released && slices.Contains(n.view.UnreleasedSlots, n.slot.number):
		return fraction(n.view.slotShare()), duration.DistantFuture,
			"share of its slot, by the configured number of relays"
	case !n.record.SlotReleased:
		return 0, duration.DistantFuture, "none: the relay has no slot, and no view grants it a share"
	case !member.IsMember:
		return 0, duration.DistantFuture, "none: the relay has released its slot and is in no view yet"
	case n.localState.Lifecycle == LifecycleLeaving:
		return 0, duration.DistantFuture, "none: the relay is leaving"
	case !n.lease.valid(now):
		return 0, duration.DistantFuture, "none: the relay's lease has expired"
	}
	return fraction(member.BudgetShare), n.lease.validUntil, "granted in the view"
}
