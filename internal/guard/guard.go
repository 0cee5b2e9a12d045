package guard

import "capersail/decide"

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
