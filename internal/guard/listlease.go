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
	listTerm   = 5800.0
	reopenTerm = 300.0
	movedTerm  = 4100.0
	// overdueAfter is how long after its end the lease may still be overstepped before a rule can be broken.
	overdueAfter = 6000 + DrainGrace - listTerm
	// failedFactor is by how much longer a relay is held to its list after a call that failed.
	failedFactor = 4
)

// Loss is how a call to discovery ended, or why it brought nothing.
type Loss uint8

// The losses.
const (
	// CallFailed: it was reset, answered with an error, or given up. That shows nothing, as others may be served.
	CallFailed Loss = iota
	// ConnectionRefused: discovery does not serve. It tells nobody anything, and its news counts anew from its return on.
	ConnectionRefused
	// WatchSilent: the watch stood, and brought no line any more.
	WatchSilent
	// AddressChanged: the relay follows discovery elsewhere.
	AddressChanged
)

// terms are for how long a list that is pushed counts, from the moment that a rule counts from.
type terms struct{ heard, lost, moved float64 }

var (
	pushedTerms = terms{heard: listTerm, lost: reopenTerm, moved: movedTerm}
	// pushedLimits are when a rule can be broken.
	pushedLimits = terms{heard: 6000 + DrainGrace, lost: DrainGrace, moved: 4000 + DrainGrace}
)

// ListLease says until when the list of servers that a relay holds may be acted on. The list that a process starts with is of a time
// that nobody knows, so it is not acted on before discovery has been heard. ListLease has no clock and no lock: times are milliseconds
// on the caller's monotonic clock.
type ListLease struct {
	askWithin float64 // the settings' time for asking, 0 where lists are pushed
	heard     float64 // when discovery last said something, or the process started
	down      float64 // when it last refused a connection; -Inf for never
	lost      float64 // when the watch on which it was heard ended; +Inf while it stands or is silent
	moved     float64 // when the relay first followed discovery elsewhere since it was heard; +Inf for not
	answered  bool    // it has said something since the start
	watching  bool    // a watch is open, as far as can be told
	failed    bool    // the last call failed
	on        bool
}

// NewListLease returns the lease of a relay that starts with a list from its configuration.
func NewListLease(now, askWithin float64) ListLease {
	return ListLease{askWithin: askWithin, heard: now, down: math.Inf(-1), lost: math.Inf(1), moved: math.Inf(1), on: true}
}

// Heard renews the lease: discovery has said something on a call that stands, so all that it had to tell before has come.
func (l *ListLease) Heard(now float64) {
	l.heard, l.answered, l.watching, l.failed = now, true, true, false
	l.lost, l.moved = math.Inf(1), math.Inf(1)
}

// Lost says that a watch has ended or a call brought nothing.
func (l *ListLease) Lost(now float64, why Loss) {
	switch {
	case why == ConnectionRefused:
		l.down, l.lost = now, min(l.lost, now)
	case why == AddressChanged:
		l.moved = min(l.moved, now)
	case why == CallFailed && l.watching:
		l.lost = now
	}
	l.watching, l.failed = false, true
}

// Until is when the lease ends if nothing is heard.
func (l *ListLease) Until() float64 {
	switch {
	case !l.on:
		return math.Inf(1)
	case l.pushed():
		return l.pushedUntil(pushedTerms)
	case !l.answered:
		return max(l.heard, l.down+l.term())
	}
	return max(l.heard, l.down) + l.term()
}

// pushed tells whether lists come from an agent of the relay's own.
func (l *ListLease) pushed() bool { return l.askWithin == 0 }

// pushedUntil is until when a list that is pushed counts, by some terms.
func (l *ListLease) pushedUntil(t terms) float64 {
	end := l.heard
	if l.answered {
		end = min(l.heard+t.heard, l.lost+t.lost, l.moved+t.moved)
	}
	return max(end, l.down+t.lost)
}

// Valid tells whether the list may be acted on now.
func (l *ListLease) Valid(now float64) bool { return now < l.Until() }

// Overdue tells whether what has been sent by the list may have broken the rule on drains: news that was never heard may count
// as told, and the grace for it be over.
func (l *ListLease) Overdue(now float64) bool {
	if l.on && l.pushed() && l.answered {
		return now >= l.pushedUntil(pushedLimits)
	}
	return now >= l.Until()+overdueAfter
}

// Age is how long ago discovery was last heard, 0 for a list that is on no lease.
func (l *ListLease) Age(now float64) float64 {
	if !l.on {
		return 0
	}
	return now - l.heard
}

// term is for how long a list that is asked for counts after it was confirmed. Without a watch the settings may give less.
func (l *ListLease) term() float64 {
	switch {
	case l.watching:
		return listTerm
	case l.failed:
		return min(listTerm, failedFactor*l.askWithin)
	}
	return min(listTerm, l.askWithin)
}
