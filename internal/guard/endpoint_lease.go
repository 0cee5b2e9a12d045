package guard

import (
	"math"
	"time"
)

// A relay may use its endpoint list only while it holds a lease on the list. By the protocol page, a relay
// counts as notified of a change 6 s after the change was made at discovery, whether or not the watch event
// arrived. From DrainGrace after that, the relay may send no new request to a server that the change removed
// or drained (the drain rule). A relay that hears nothing from discovery cannot know of such a change, so the
// lease ends before a missed change could make a new request a violation. The term of the lease, in ms:
//
//	notified at the latest after                         6000
//	+ DrainGrace                                          500
//	- delay from a change to its event on a working watch 300
//	- delay between the check and the first byte          150
//	- safety margin                                       250
//	= endpointLeaseTerm                                  5800
//
// Where lists are pushed, by an agent that serves this relay alone, the protocol page sets two earlier
// limits. The relay counts as notified of everything that the agent knows, whether or not a watch is open, so
// after the end of a watch only DrainGrace less the margins is left. After a SIGHUP that names another agent,
// the relay counts as notified by that agent 4 s later. The limit of 6 s remains only for a watch that is
// open but silent. An agent that refuses connections is down and learns of no changes.
//
//	                                        watch ended    another agent
//	notified after                                    0             4000
//	+ DrainGrace                                    500              500
//	- delay between the check and the first byte    150              150
//	- safety margin                                  50              250
//	= watchEndedTerm, addressChangedTerm            300             4100
const (
	notifiedWithin             = 6000 * time.Millisecond
	notifiedAfterAddressChange = 4000 * time.Millisecond
	endpointLeaseTerm          = 5800 * time.Millisecond
	watchEndedTerm             = 300 * time.Millisecond
	addressChangedTerm         = 4100 * time.Millisecond
	// violationMargin is the time between the expiry of the lease and the first instant at which using the
	// list can violate the drain rule.
	violationMargin = notifiedWithin + DrainGrace - endpointLeaseTerm
	// failedCallFactor multiplies pollWithin to give the term of the lease after a failed call.
	failedCallFactor = 4
)

// distantPast and distantFuture stand for instants that are never reached. They use half the range of a
// Duration, so that adding a term to them cannot overflow.
const (
	distantFuture = time.Duration(math.MaxInt64 / 2)
	distantPast   = -distantFuture
)

// DiscoveryLoss is the way in which the relay lost contact with discovery: how a call ended, or why it
// returned nothing.
type DiscoveryLoss uint8

// The ways in which the relay loses contact with discovery.
const (
	// CallFailed: the call was reset, answered with an error, or abandoned. Discovery may still be serving
	// other relays.
	CallFailed DiscoveryLoss = iota
	// ConnectionRefused: discovery is down. It notifies no relay, and the time after which a change counts as
	// notified starts again once discovery is back.
	ConnectionRefused
	// WatchSilent: the watch is open, but no longer delivers any line.
	WatchSilent
	// AddressChanged: the relay has switched to discovery at another address.
	AddressChanged

	discoveryLossCount
)

var discoveryLossNames = [discoveryLossCount]string{
	CallFailed:        "call failed",
	ConnectionRefused: "connection refused",
	WatchSilent:       "watch silent",
	AddressChanged:    "address changed",
}

// String returns the loss's name in logs, or "unknown" for an undefined value.
func (l DiscoveryLoss) String() string { return nameOf(discoveryLossNames[:], uint8(l)) }

// leaseTerms are the terms of the lease on a pushed list, each counted from the event that its field names.
type leaseTerms struct {
	sinceLastHeard      time.Duration
	sinceWatchEnded     time.Duration
	sinceAddressChanged time.Duration
}

var (
	pushedTerms = leaseTerms{
		sinceLastHeard:      endpointLeaseTerm,
		sinceWatchEnded:     watchEndedTerm,
		sinceAddressChanged: addressChangedTerm,
	}
	// pushedViolationLimits are the terms after which using the list can violate the drain rule.
	pushedViolationLimits = leaseTerms{
		sinceLastHeard:      notifiedWithin + DrainGrace,
		sinceWatchEnded:     DrainGrace,
		sinceAddressChanged: notifiedAfterAddressChange + DrainGrace,
	}
)

// EndpointLease determines until when a relay may use its endpoint list. The age of the list that a process
// starts with is unknown, so that list is not used before discovery has been heard or has refused a
// connection. The zero EndpointLease is disabled and never expires. An EndpointLease has no clock and no
// lock: the caller passes instants and serializes the calls.
type EndpointLease struct {
	pollWithin time.Duration // poll interval from the settings, 0 where lists are pushed

	lastHeardAt   time.Duration // when discovery was last heard; initially the start of the process
	lastRefusedAt time.Duration // when discovery last refused a connection, or distantPast
	// watchEndedAt is when the watch that discovery was last heard on ended. It is distantFuture while that
	// watch is open or silent.
	watchEndedAt time.Duration
	// addressChangedAt is when the relay first switched to another address since discovery was last heard, or
	// distantFuture.
	addressChangedAt time.Duration

	heardSinceStart bool // discovery has been heard since the process started
	watchOpen       bool // a watch is open, as far as the relay knows
	lastCallFailed  bool
	enabled         bool
}

// NewEndpointLease returns the lease of a relay that starts with a list from its configuration. pollWithin is
// the poll interval from the settings, 0 where lists are pushed.
func NewEndpointLease(now, pollWithin time.Duration) EndpointLease {
	return EndpointLease{
		pollWithin:       pollWithin,
		lastHeardAt:      now,
		lastRefusedAt:    distantPast,
		watchEndedAt:     distantFuture,
		addressChangedAt: distantFuture,
		enabled:          true,
	}
}

// Renew renews the lease. The caller has read something from discovery on an open call, and so has received
// everything that discovery sent before.
func (l *EndpointLease) Renew(now time.Duration) {
	l.lastHeardAt = now
	l.heardSinceStart = true
	l.watchOpen = true
	l.lastCallFailed = false
	l.watchEndedAt = distantFuture
	l.addressChangedAt = distantFuture
}

// RecordLoss records that a watch has ended or a call has returned nothing.
func (l *EndpointLease) RecordLoss(now time.Duration, loss DiscoveryLoss) {
	switch {
	case loss == ConnectionRefused:
		l.lastRefusedAt = now
		l.watchEndedAt = min(l.watchEndedAt, now)
	case loss == AddressChanged:
		l.addressChangedAt = min(l.addressChangedAt, now)
	case loss == CallFailed && l.watchOpen:
		l.watchEndedAt = now
	}
	l.watchOpen = false
	l.lastCallFailed = true
}

// ValidUntil returns the instant at which the lease expires unless it is renewed, and distantFuture for a
// disabled lease.
func (l *EndpointLease) ValidUntil() time.Duration {
	switch {
	case !l.enabled:
		return distantFuture
	case l.pushed():
		return l.pushedValidUntil(pushedTerms)
	case !l.heardSinceStart:
		return max(l.lastHeardAt, l.lastRefusedAt+l.polledTerm())
	}
	return max(l.lastHeardAt, l.lastRefusedAt) + l.polledTerm()
}

// pushed reports whether lists are pushed by an agent that serves this relay alone.
func (l *EndpointLease) pushed() bool { return l.pollWithin == 0 }

// pushedValidUntil returns the instant at which the lease on a pushed list ends by the given terms.
func (l *EndpointLease) pushedValidUntil(t leaseTerms) time.Duration {
	end := l.lastHeardAt
	if l.heardSinceStart {
		end = min(end+t.sinceLastHeard, l.watchEndedAt+t.sinceWatchEnded)
		end = min(end, l.addressChangedAt+t.sinceAddressChanged)
	}
	return max(end, l.lastRefusedAt+t.sinceWatchEnded)
}

// Enabled reports whether the endpoint list needs a lease. If not, it may always be used.
func (l *EndpointLease) Enabled() bool { return l.enabled }

// Valid reports whether the endpoint list may be used now.
func (l *EndpointLease) Valid(now time.Duration) bool { return !l.enabled || now < l.ValidUntil() }

// MayViolateDrainRule reports whether a request placed by the list now may violate the drain rule: the relay
// may count as notified of a change whose watch event never arrived, and DrainGrace may have passed since.
func (l *EndpointLease) MayViolateDrainRule(now time.Duration) bool {
	if l.enabled && l.pushed() && l.heardSinceStart {
		return now >= l.pushedValidUntil(pushedViolationLimits)
	}
	return now >= l.ValidUntil()+violationMargin
}

// Age returns the time since discovery was last heard, and 0 for a disabled lease.
func (l *EndpointLease) Age(now time.Duration) time.Duration {
	if !l.enabled {
		return 0
	}
	return now - l.lastHeardAt
}

// polledTerm returns the term of the lease on a polled list, from its last confirmation. While no watch is
// open, the settings may shorten it.
func (l *EndpointLease) polledTerm() time.Duration {
	switch {
	case l.watchOpen:
		return endpointLeaseTerm
	case l.lastCallFailed:
		return min(endpointLeaseTerm, failedCallFactor*l.pollWithin)
	}
	return min(endpointLeaseTerm, l.pollWithin)
}
