package guard

import "math"

// The list of servers is held on a lease. What discovery has to tell counts as told 6 s after it was made, whether or not it
// arrived, and half a second later nothing new may go to a server that it takes away. A relay that does not hear from discovery
// cannot know of such news, so it acts on its list only for so long that none can count against it:
//
//	told at the latest                                   6000
//	+ grace of the rule on drains                         500
//	- from a change to its writing on a sound watch       300
//	- held up between the check and the first byte        150
//	- left over                                           250
//	= listTerm                                           5800
//
// Where lists are pushed, by an agent of the relay's own, two sentences give earlier times. What the agent has counts as told whether
// or not a watch is open, so the end of a watch leaves the grace less the margins; and it counts as told 4 s after the SIGHUP that
// names the agent. Only a watch that has fallen silent has the 6 s. An agent that refuses connections is down and learns nothing.
//
//	                                        watch ended    another agent
//	told                                              0             4000
//	+ grace of the rule on drains                   500              500
//	- held up between the check and the first byte  150              150
//	- left over                                      50              250
//	= reopenTerm, movedTerm                         300             4100
const (
	endpointLeaseTerm  = 5800.0
	watchEndedTerm     = 300.0
	addressChangedTerm = 4100.0
	// violationMargin is how long after its end the lease may still be overstepped before a rule can be broken.
	violationMargin = 6000 + DrainGrace - endpointLeaseTerm
	// failedCallFactor is by how much longer a relay is held to its list after a call that failed.
	failedCallFactor = 4
)

// DiscoveryLoss is how a call to discovery ended, or why it brought nothing.
type DiscoveryLoss uint8

// The losses.
const (
	// CallFailed: it was reset, answered with an error, or given up. That shows nothing, as others may be served.
	CallFailed DiscoveryLoss = iota
	// ConnectionRefused: discovery does not serve. It tells nobody anything, and its news counts anew from its return on.
	ConnectionRefused
	// WatchSilent: the watch stood, and brought no line any more.
	WatchSilent
	// AddressChanged: the relay follows discovery elsewhere.
	AddressChanged
)

// leaseTerms are for how long a list that is pushed counts, from the moment that a rule counts from.
type leaseTerms struct{ sinceHeard, sinceWatchEnded, sinceAddressChanged float64 }

var (
	pushedTerms = leaseTerms{sinceHeard: endpointLeaseTerm, sinceWatchEnded: watchEndedTerm, sinceAddressChanged: addressChangedTerm}
	// pushedViolationLimits are when a rule can be broken.
	pushedViolationLimits = leaseTerms{sinceHeard: 6000 + DrainGrace, sinceWatchEnded: DrainGrace, sinceAddressChanged: 4000 + DrainGrace}
)

// EndpointLease says until when the list of servers that a relay holds may be acted on. The list that a process starts with is of a time
// that nobody knows, so it is not acted on before discovery has been heard. EndpointLease has no clock and no lock: times are milliseconds
// on the caller's monotonic clock.
type EndpointLease struct {
	pollWithin       float64 // the settings' time for asking, 0 where lists are pushed
	heardAt          float64 // when discovery last said something, or the process started
	refusedAt        float64 // when it last refused a connection; -Inf for never
	watchEndedAt     float64 // when the watch on which it was heard ended; +Inf while it stands or is silent
	addressChangedAt float64 // when the relay first followed discovery elsewhere since it was heard; +Inf for not
	answered         bool    // it has said something since the start
	watching         bool    // a watch is open, as far as can be told
	lastCallFailed   bool    // the last call failed
	enabled          bool
}

// NewEndpointLease returns the lease of a relay that starts with a list from its configuration.
func NewEndpointLease(now, askWithin float64) EndpointLease {
	return EndpointLease{pollWithin: askWithin, heardAt: now, refusedAt: math.Inf(-1), watchEndedAt: math.Inf(1), addressChangedAt: math.Inf(1), enabled: true}
}

// Renew renews the lease: discovery has said something on a call that stands, so all that it had to tell before has come.
func (l *EndpointLease) Renew(now float64) {
	l.heardAt, l.answered, l.watching, l.lastCallFailed = now, true, true, false
	l.watchEndedAt, l.addressChangedAt = math.Inf(1), math.Inf(1)
}

// RecordLoss says that a watch has ended or a call brought nothing.
func (l *EndpointLease) RecordLoss(now float64, why DiscoveryLoss) {
	switch {
	case why == ConnectionRefused:
		l.refusedAt, l.watchEndedAt = now, min(l.watchEndedAt, now)
	case why == AddressChanged:
		l.addressChangedAt = min(l.addressChangedAt, now)
	case why == CallFailed && l.watching:
		l.watchEndedAt = now
	}
	l.watching, l.lastCallFailed = false, true
}

// ValidUntil is when the lease ends if nothing is heard.
func (l *EndpointLease) ValidUntil() float64 {
	switch {
	case !l.enabled:
		return math.Inf(1)
	case l.pushed():
		return l.pushedValidUntil(pushedTerms)
	case !l.answered:
		return max(l.heardAt, l.refusedAt+l.term())
	}
	return max(l.heardAt, l.refusedAt) + l.term()
}

// pushed tells whether lists come from an agent of the relay's own.
func (l *EndpointLease) pushed() bool { return l.pollWithin == 0 }

// pushedValidUntil is until when a list that is pushed counts, by some terms.
func (l *EndpointLease) pushedValidUntil(t leaseTerms) float64 {
	end := l.heardAt
	if l.answered {
		end = min(l.heardAt+t.sinceHeard, l.watchEndedAt+t.sinceWatchEnded, l.addressChangedAt+t.sinceAddressChanged)
	}
	return max(end, l.refusedAt+t.sinceWatchEnded)
}

// Valid tells whether the list may be acted on now.
func (l *EndpointLease) Valid(now float64) bool { return now < l.ValidUntil() }

// MayBreakDrainRule tells whether what has been sent by the list may have broken the rule on drains: news that was never heard may count
// as told, and the grace for it be over.
func (l *EndpointLease) MayBreakDrainRule(now float64) bool {
	if l.enabled && l.pushed() && l.answered {
		return now >= l.pushedValidUntil(pushedViolationLimits)
	}
	return now >= l.ValidUntil()+violationMargin
}

// Age is how long ago discovery was last heard, 0 for a list that is on no lease.
func (l *EndpointLease) Age(now float64) float64 {
	if !l.enabled {
		return 0
	}
	return now - l.heardAt
}

// term is for how long a list that is asked for counts after it was confirmed. Without a watch the settings may give less.
func (l *EndpointLease) term() float64 {
	switch {
	case l.watching:
		return endpointLeaseTerm
	case l.lastCallFailed:
		return min(endpointLeaseTerm, failedCallFactor*l.pollWithin)
	}
	return min(endpointLeaseTerm, l.pollWithin)
}
