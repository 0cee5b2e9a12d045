// Package guard is the one place that decides whether a relay may send, repeat, answer, close or start something now. The rules are
// those of the protocol page; whoever acts fills in what is known at that moment, asks right before the act, and does nothing that
// is denied. It has no clock, no lock and no I/O.
//
// Check functions return a Denial, Allowed if nothing stands in the way. Violations counts what was done against a rule all the
// same: each is a fault of this program.
package guard

import "capersail/decide"

// Denial says why something may not be done now.
type Denial uint8

// The denials.
const (
	Allowed              Denial = iota
	NotWaiting                  // the request has its answer, or is up, or the attempt has been called off
	AttemptInFlight             // another attempt of the request is out
	AttemptsExhausted           // it has had as many as the settings allow
	AttemptTimedOut             // the time of the attempt is over
	ClientGone                  // the client has closed, or has spoilt its request
	ServerNotReady              // the server drains, is out by hand or is gone
	EndpointLeaseExpired        // the list of servers cannot be confirmed
	MayHaveRun                  // an earlier attempt may have run, and the class must not run twice
	DedupWindowOver             // the time in which servers know a repeat again is over
	OutsideDedupScope           // the server does not know the keys of the one where an earlier attempt may have run
	RelayShuttingDown           // the relay leaves, or is drained by hand
	NameTaken                   // another request has the same name
	OwnershipLost               // the right to serve the stream may be lost
	denialCount
)

var denialNames = [denialCount]string{"allowed", "not waiting", "attempt out", "attempts spent", "time over", "client gone",
	"server not ready", "list lapsed", "may have run", "window over", "other servers", "relay leaving", "name taken", "claim lapsed"}

// String is the denial as logs and figures have it.
func (d Denial) String() string {
	if d >= denialCount {
		return "unknown"
	}
	return denialNames[d]
}

// Denials are all reasons for which something may be denied.
func Denials() (all []Denial) {
	for d := Allowed + 1; d < denialCount; d++ {
		all = append(all, d)
	}
	return all
}

// Request is what is known of a request that something is to be done for.
type Request struct {
	Waiting         bool // it has no answer, is not up, and is this relay's to serve
	AttemptInFlight bool // an attempt is out whose end has not been told
	MayHaveWritten  bool // the first byte of that attempt may have been written
	MayHaveRun      bool // an attempt has ended without proof that it never ran
	MayHaveRunAt    float64
	MayHaveRunOn    Location // of the server of that attempt
	Attempts        int      // made so far
	MaxAttempts     int      // 0 for any number
	Effect          decide.Idempotency
	Scope           decide.DedupScope
	DedupWindow     float64 // in which servers know a repeat again, in ms
	Resumed         bool    // a connection that stood at its server before this relay started: it goes back there whatever the list says
	OwnershipLost   bool
}

// Location is where a server stands.
type Location struct {
	Zone string
	Cell int32
}

// ServerStatus is the server that something is to be sent to, by the newest list.
type ServerStatus struct {
	EverListed bool
	Ready      bool
	Location   Location
}

// MayAttempt tells whether an attempt may be started: a dial, of which nothing is sent yet.
func MayAttempt(now float64, r Request, to ServerStatus, list *EndpointLease) Denial {
	switch {
	case !r.Waiting:
		return NotWaiting
	case r.OwnershipLost:
		return OwnershipLost
	case r.AttemptInFlight:
		return AttemptInFlight
	case r.MaxAttempts > 0 && r.Attempts >= r.MaxAttempts:
		return AttemptsExhausted
	case !to.EverListed:
		return ServerNotReady
	}
	if d := mayRetry(now, r, to); d != Allowed {
		return d
	}
	return mayUseServer(now, r, to, list)
}

// MayWrite tells whether the first byte of an attempt that has been dialled may be written. until is when the relay stops waiting
// for the attempt; clientGone, that the client's end has come, even where nobody has had time to read it.
func MayWrite(now, until float64, r Request, to ServerStatus, list *EndpointLease, clientGone bool) Denial {
	switch {
	case !r.Waiting:
		return NotWaiting
	case r.OwnershipLost:
		return OwnershipLost
	case now >= until:
		return AttemptTimedOut
	}
	if d := mayUseServer(now, r, to, list); d != Allowed {
		return d
	}
	if clientGone {
		return ClientGone
	}
	return mayRetry(now, r, to)
}

// mayUseServer tells whether something new may go to a server.
func mayUseServer(now float64, r Request, to ServerStatus, list *EndpointLease) Denial {
	switch {
	case r.Resumed:
		return Allowed
	case !to.Ready:
		return ServerNotReady
	case !list.Valid(now):
		return EndpointLeaseExpired
	}
	return Allowed
}

// mayRetry tells whether a request whose earlier attempt may have run can be sent to a server.
func mayRetry(now float64, r Request, to ServerStatus) Denial {
	switch {
	case !r.MayHaveRun, r.Effect == decide.Idempotent:
		return Allowed
	case r.Effect == decide.NonIdempotent:
		return MayHaveRun
	case now-r.MayHaveRunAt >= r.DedupWindow:
		return DedupWindowOver
	case r.Scope == decide.ScopeZone && to.Location.Zone != r.MayHaveRunOn.Zone, r.Scope == decide.ScopeCell && to.Location.Cell != r.MayHaveRunOn.Cell:
		return OutsideDedupScope
	}
	return Allowed
}

// MayReject tells whether a request may be refused, which promises that trying again is harmless. Else it fails.
func MayReject(r Request) Denial {
	switch {
	case r.Effect == decide.Idempotent:
		return Allowed
	case r.AttemptInFlight && r.MayHaveWritten:
		return MayHaveRun
	case r.MayHaveRun && (r.Effect == decide.NonIdempotent || r.Scope != decide.ScopeAll):
		return MayHaveRun
	}
	return Allowed
}

// MayAccept tells whether the relay may take on a request.
func MayAccept(leaving, nameTaken bool) Denial {
	switch {
	case nameTaken:
		return NameTaken
	case leaving:
		return RelayShuttingDown
	}
	return Allowed
}

// MayAnswer tells whether a request may be given a final answer: once, and not while a server serves it.
func MayAnswer(answered, up bool) Denial {
	if answered || up {
		return NotWaiting
	}
	return Allowed
}
