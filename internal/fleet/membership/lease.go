package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"capersail/internal/fleet/duration"
)

// Lease times. A voter that has accepted the next view renews no lease of the current view any more, so that
// no lease of an old view is renewed once a new view is chosen. A member stops using its share of the old
// view, by its own clock, before any other relay counts the limits of the old view as ended:
//
//	valid until       = time the renewal was sent + LeaseDuration*(1-MaxClockDrift) - LeaseSafetyMargin
//	limits end after  = LeaseDuration*(1+MaxClockDrift) from the adoption of the new view
//	LeaseSafetyMargin = MaxEffectDelay + 250 ms of reserve
const (
	// LeaseDuration is the lease duration of a flat fleet. An Allocation may set another duration.
	LeaseDuration   = flatLeaseMillis * time.Millisecond
	flatLeaseMillis = 4000
	// MaxClockDrift is the fraction by which a relay's clock may run fast or slow.
	MaxClockDrift     = 1.0 / 20
	LeaseSafetyMargin = MaxEffectDelay + 250*time.Millisecond
	// MaxEffectDelay is the longest time from when a relay reads its share until everything that the relay
	// does by that share has taken effect.
	MaxEffectDelay = 250 * time.Millisecond
	// RenewInterval is the time between two renewals of a lease. It allows three attempts at a renewal while
	// a lease is valid.
	RenewInterval = time.Second
	// EarlierViewsExpireAfter is the time from the adoption of a view until no relay acts by an earlier view
	// any more, with the lease duration of a flat fleet.
	EarlierViewsExpireAfter = flatLeaseMillis * (1 + MaxClockDrift) * time.Millisecond
)

// lease is this relay's right to use its share of the current view. At least half of the voters must renew
// the lease.
//
// Invariants: validUntil never falls. It rises only to the time until which half of the voters of the current
// view have renewed the lease, where each renewal counts from when this relay sent the request.
type lease struct {
	renewalSentAt map[string]time.Duration // by voter: send time of the newest answered request
	validUntil    time.Duration            // the share may be used before this time
	nextRenewalAt time.Duration
}

// noteRenewal records that a voter has answered the renewal request that this relay sent at sentAt.
func (l *lease) noteRenewal(voter string, sentAt time.Duration) {
	l.renewalSentAt[voter] = max(l.renewalSentAt[voter], sentAt)
}

// extend raises validUntil to the time until which half of the voters of a view have renewed the lease. A
// renewal is valid for validFor from when this relay sent the request.
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

// valid reports whether the lease is valid at a time. Only then may the share be used.
func (l *lease) valid(now time.Duration) bool { return now < l.validUntil }

// deferredRenewals maps a member to its newest RenewLease message for a view that this voter has not adopted
// yet.
type deferredRenewals map[string]Message

// answerDeferredRenewals answers the deferred requests to renew a lease of the current view, once this relay
// has adopted that view. For a member the late answer is the same as that to a request that was delayed by
// the network: a renewal counts from when the member sent the request.
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

// releaseSlot releases this relay's bootstrap slot once the alive voters are a majority, which can agree on a
// view, or once a peer has adopted a view. When the release is on disk, this relay uses only the share that a
// view grants it.
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

// joinsExistingFleet reports whether this relay has adopted no view yet while a peer that is alive has
// adopted one.
func (n *Node) joinsExistingFleet() bool {
	holdsView := func(p *Peer) bool { return p.Health == HealthAlive && p.hasStatus() && p.Status.Epoch > 0 }
	return n.view.Epoch == 0 && slices.ContainsFunc(n.peers.sorted, holdsView)
}

// renewLease asks the voters to renew this relay's lease when a renewal is due.
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

// leaseScale returns the lease duration of this relay's chain of views as a multiple of the lease duration of
// a flat fleet.
func (n *Node) leaseScale() float64 {
	if a := n.view.Allocation; a != nil && a.LeaseMillis > 0 {
		return float64(a.LeaseMillis) / flatLeaseMillis
	}
	return 1
}

// leaseValidity returns how long, by this relay's clock, a renewal of the lease is valid, counted from when
// this relay sent the request.
func (n *Node) leaseValidity() time.Duration {
	byOwnClock := duration.Scale(n.safeguards.leaseDuration, n.leaseScale()*(1-MaxClockDrift))
	return byOwnClock - n.safeguards.safetyMargin
}

// earlierViewsExpireAfter returns the time from the adoption of a view until no relay acts by an earlier view
// any more. This time is proportional to the lease duration.
func (n *Node) earlierViewsExpireAfter() time.Duration {
	return duration.Scale(n.safeguards.earlierViewsExpireAfter, n.leaseScale())
}

// BudgetShare returns which fraction of a fleet-wide budget this relay may use now. In a fleet of cells the
// fraction applies to the budgets of servers in the cell's near zones.
func (n *Node) BudgetShare(now time.Duration) float64 {
	share, _, _ := n.budgetShare(max(now, n.now))
	near, _ := n.view.Allocation.budgetShares(share)
	return near
}

// budgetShare returns which fraction of its cell's budget, or in a flat fleet of the full budget, this relay
// may use now, until when the fraction is valid, and the reason for its size.
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
