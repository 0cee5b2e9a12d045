package guard

import (
	"math"
	"time"
)

// The endpoint list is held on a lease. A change at discovery counts as notified 6 s after it was made,
// whether or not its watch event arrived, and DrainGrace later nothing new may go to a server that it takes
// away. A relay that gets nothing from discovery cannot know of such a change, so it acts on its list only
// for so long that none can count against it, in ms:
//
//	notified at the latest                               6000
//	+ grace of the rule on drains                         500
//	- from a change to its writing on a sound watch       300
//	- held up between the check and the first byte        150
//	- left over                                           250
//	= endpointLeaseTerm                                  5800
//
// Where lists are pushed, by an agent of the relay's own, two sentences of the protocol page give earlier
// times. What the agent has counts as notified whether or not a watch is open, so the end of a watch leaves
// the grace less the margins; and it counts as notified 4 s after the SIGHUP that names the agent. Only a
// watch that has fallen silent has the 6 s. An agent that refuses connections is down and learns nothing.
//
//	                                        watch ended    another agent
//	notified                                          0             4000
//	+ grace of the rule on drains                   500              500
//	- held up between the check and the first byte  150              150
//	- left over                                      50              250
//	= watchEndedTerm, addressChangedTerm            300             4100
const (
	notifiedWithin     = 6000 * time.Millisecond
	notifiedAfterMove  = 4000 * time.Millisecond
	endpointLeaseTerm  = 5800 * time.Millisecond
	watchEndedTerm     = 300 * time.Millisecond
	addressChangedTerm = 4100 * time.Millisecond
	// violationMargin is how long after its end the lease may still be overstepped before the rule on drains
	// can be broken.
	violationMargin = notifiedWithin + DrainGrace - endpointLeaseTerm
	// failedCallFactor is by how much longer than pollWithin a relay is held to its list after a failed call.
	failedCallFactor = 4
)

// never and forever stand for instants that do not come. Half the range leaves room to add a term to either.
const (
	forever = time.Duration(math.MaxInt64 / 2)
	never   = -forever
)

// DiscoveryLoss is how a call to discovery ended, or why it brought nothing.
type DiscoveryLoss uint8

// The losses.
const (
	// CallFailed: it was reset, answered with an error, or given up. That shows nothing, as others may be
	// served.
	CallFailed DiscoveryLoss = iota
	// ConnectionRefused: discovery does not serve. It notifies nobody, and the time within which a change
	// counts as notified begins anew when it is back.
	ConnectionRefused
	// WatchSilent: the watch stood, and brought no line any more.
	WatchSilent
	// AddressChanged: the relay follows discovery elsewhere.
	AddressChanged

	discoveryLossCount
)

var discoveryLossNames = [discoveryLossCount]string{
	CallFailed:        "call failed",
	ConnectionRefused: "connection refused",
	WatchSilent:       "watch silent",
	AddressChanged:    "address changed",
}

// String returns the loss's name in logs, "unknown" for a value that is none.
func (l DiscoveryLoss) String() string { return nameOf(discoveryLossNames[:], uint8(l)) }

// leaseTerms are for how long a list that is pushed counts, from the event that a rule counts from.
type leaseTerms struct {
	sinceHeard          time.Duration
	sinceWatchEnded     time.Duration
	sinceAddressChanged time.Duration
}

var (
	pushedTerms = leaseTerms{
		sinceHeard:          endpointLeaseTerm,
		sinceWatchEnded:     watchEndedTerm,
		sinceAddressChanged: addressChangedTerm,
	}
	// pushedViolationLimits are when the rule on drains can be broken.
	pushedViolationLimits = leaseTerms{
		sinceHeard:          notifiedWithin + DrainGrace,
		sinceWatchEnded:     DrainGrace,
		sinceAddressChanged: notifiedAfterMove + DrainGrace,
	}
)

// EndpointLease says until when the endpoint list that a relay holds may be acted on. The list that a process
// starts with is of a time that nobody knows, so it is not acted on before discovery has been heard. The zero
// EndpointLease is disabled and never expires. It has no clock and no lock: instants are the caller's.
type EndpointLease struct {
	pollWithin time.Duration // the settings' time for a poll, 0 where lists are pushed

	heardAt   time.Duration // when discovery last said something, or the process started
	refusedAt time.Duration // when it last refused a connection, or never
	// watchEndedAt is when the watch ended that it was heard on, forever while that stands or is silent.
	watchEndedAt time.Duration
	// addressChangedAt is when the relay first followed discovery elsewhere since it was heard, or forever.
	addressChangedAt time.Duration

	answered       bool // discovery has said something since the start
	watching       bool // a watch is open, as far as is known
	lastCallFailed bool
	enabled        bool
}

// NewEndpointLease returns the lease of a relay that starts with a list from its configuration. pollWithin is
// the settings' time for a poll of discovery, 0 where lists are pushed.
func NewEndpointLease(now, pollWithin time.Duration) EndpointLease {
	return EndpointLease{
		pollWithin:       pollWithin,
		heardAt:          now,
		refusedAt:        never,
		watchEndedAt:     forever,
		addressChangedAt: forever,
		enabled:          true,
	}
}

// Renew renews the lease: discovery has said something on a call that stands, so all that it had to tell
// before has come.
func (l *EndpointLease) Renew(now time.Duration) {
	l.heardAt = now
	l.answered = true
	l.watching = true
	l.lastCallFailed = false
	l.watchEndedAt = forever
	l.addressChangedAt = forever
}

// RecordLoss records that a watch has ended or a call brought nothing.
func (l *EndpointLease) RecordLoss(now time.Duration, loss DiscoveryLoss) {
	switch {
	case loss == ConnectionRefused:
		l.refusedAt = now
		l.watchEndedAt = min(l.watchEndedAt, now)
	case loss == AddressChanged:
		l.addressChangedAt = min(l.addressChangedAt, now)
	case loss == CallFailed && l.watching:
		l.watchEndedAt = now
	}
	l.watching = false
	l.lastCallFailed = true
}

// ValidUntil returns when the lease expires if nothing is heard; far beyond any instant if it is disabled.
func (l *EndpointLease) ValidUntil() time.Duration {
	switch {
	case !l.enabled:
		return forever
	case l.pushed():
		return l.pushedValidUntil(pushedTerms)
	case !l.answered:
		return max(l.heardAt, l.refusedAt+l.term())
	}
	return max(l.heardAt, l.refusedAt) + l.term()
}

// pushed tells whether lists come from an agent of the relay's own.
func (l *EndpointLease) pushed() bool { return l.pollWithin == 0 }

// pushedValidUntil returns until when a list that is pushed counts, by some terms.
func (l *EndpointLease) pushedValidUntil(t leaseTerms) time.Duration {
	end := l.heardAt
	if l.answered {
		end = min(end+t.sinceHeard, l.watchEndedAt+t.sinceWatchEnded)
		end = min(end, l.addressChangedAt+t.sinceAddressChanged)
	}
	return max(end, l.refusedAt+t.sinceWatchEnded)
}

// Enabled tells whether the list is on a lease at all.
func (l *EndpointLease) Enabled() bool { return l.enabled }

// Valid tells whether the list may be acted on now.
func (l *EndpointLease) Valid(now time.Duration) bool { return !l.enabled || now < l.ValidUntil() }

// MayViolateDrainRule tells whether what is sent by the list now may break the rule on drains: a change
// whose watch event never came may count as notified, and its DrainGrace be over.
func (l *EndpointLease) MayViolateDrainRule(now time.Duration) bool {
	if l.enabled && l.pushed() && l.answered {
		return now >= l.pushedValidUntil(pushedViolationLimits)
	}
	return now >= l.ValidUntil()+violationMargin
}

// Age returns how long ago discovery was last heard, 0 for a list that is on no lease.
func (l *EndpointLease) Age(now time.Duration) time.Duration {
	if !l.enabled {
		return 0
	}
	return now - l.heardAt
}

// term returns for how long a list that is polled counts after it was confirmed. Without a watch the settings
// may give less.
func (l *EndpointLease) term() time.Duration {
	switch {
	case l.watching:
		return endpointLeaseTerm
	case l.lastCallFailed:
		return min(endpointLeaseTerm, failedCallFactor*l.pollWithin)
	}
	return min(endpointLeaseTerm, l.pollWithin)
}
