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
const (
	listTerm = 5800.0
	// overdueAfter is how long after its end the lease may still be overstepped before a rule can be broken.
	overdueAfter = 6000 + DrainGrace - listTerm
	// failedFactor is by how much longer a relay is held to its list after a call that failed.
	failedFactor = 4
)

// ListLease says until when the list of servers that a relay holds may be acted on. The list that a process starts with is of a time
// that nobody knows, so it is not acted on before discovery has been heard. ListLease has no clock and no lock: times are milliseconds
// on the caller's monotonic clock.
type ListLease struct {
	askWithin float64 // the settings' time for asking, 0 where lists are pushed
	heard     float64 // when discovery last said something, or the process started
	down      float64 // when it last refused a connection
	answered  bool    // it has said something since the start
	watching  bool    // a watch is open, as far as can be told
	failed    bool    // the last call failed
	on        bool
}

// NewListLease returns the lease of a relay that starts with a list from its configuration.
func NewListLease(now, askWithin float64) ListLease {
	return ListLease{askWithin: askWithin, heard: now, down: math.Inf(-1), on: true}
}

// Heard renews the lease: discovery has said something on a call that stands, so all that it had to tell before has come.
func (l *ListLease) Heard(now float64) {
	l.heard, l.answered, l.watching, l.failed = now, true, true, false
}

// Failed says that a watch has ended or a call brought nothing. A refused connection shows that discovery does not serve: it
// tells nobody anything, and its news counts anew from its return on. A call that hangs, is reset or answered 503 shows nothing, as
// others may be served.
func (l *ListLease) Failed(now float64, refused bool) {
	l.watching, l.failed = false, true
	if refused {
		l.down = now
	}
}

// Until is when the lease ends if nothing is heard.
func (l *ListLease) Until() float64 {
	if !l.on {
		return math.Inf(1)
	}
	if !l.answered {
		return max(l.heard, l.down+l.term())
	}
	return max(l.heard, l.down) + l.term()
}

// Valid tells whether the list may be acted on now.
func (l *ListLease) Valid(now float64) bool { return now < l.Until() }

// Overdue tells whether what has been sent by the list may have broken the rule on drains: news that was never heard may count
// as told, and the grace for it be over.
func (l *ListLease) Overdue(now float64) bool { return now >= l.Until()+overdueAfter }

// Age is how long ago discovery was last heard, 0 for a list that is on no lease.
func (l *ListLease) Age(now float64) float64 {
	if !l.on {
		return 0
	}
	return now - l.heard
}

// term is for how long the list counts after it was confirmed. Without a watch the settings may give less.
func (l *ListLease) term() float64 {
	switch {
	case l.watching || l.askWithin == 0:
		return listTerm
	case l.failed:
		return min(listTerm, failedFactor*l.askWithin)
	}
	return min(listTerm, l.askWithin)
}
