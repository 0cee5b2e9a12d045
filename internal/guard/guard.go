package guard

import (
	"time"

	"capersail/decide"
)

// Request holds the facts about the request that something is to be done for.
type Request struct {
	Pending         bool // it is this relay's to serve, has no answer, and is not established
	AttemptInFlight bool // the end of an attempt has not been reported
	MayHaveWritten  bool // the first byte of that attempt may have been written
	Attempts        int  // started so far
	MaxAttempts     int  // the settings' bound, 0 for none; decide plans fewer (retry.go)

	MayHaveRun   bool          // an attempt has ended without proof that it never ran
	MayHaveRunAt time.Duration // when that attempt may have begun to run
	MayHaveRunOn Location      // of that attempt's server

	Idempotency decide.Idempotency
	DedupScope  decide.DedupScope
	DedupWindow time.Duration // for how long servers recognize a retry

	// Resumed marks a connection that was open at its server before this relay started: it goes back there
	// whatever the endpoint list says.
	Resumed       bool
	OwnershipLost bool // the ownership lease of its stream may be lost
}

// Location is the zone and the cell of a server.
type Location struct {
	Zone string
	Cell int32
}

// ServerStatus is what the newest endpoint list says of the server that something is to be sent to.
type ServerStatus struct {
	EverListed bool
	Ready      bool
	Location   Location
}

// MayAttempt tells whether an attempt may be started: a dial, of which nothing is written yet.
func MayAttempt(now time.Duration, r Request, to ServerStatus, lease *EndpointLease) Denial {
	switch {
	case !r.Pending:
		return RequestNotPending
	case r.OwnershipLost:
		return OwnershipLost
	case r.AttemptInFlight:
		return AttemptInFlight
	case r.MaxAttempts > 0 && r.Attempts >= r.MaxAttempts:
		return AttemptsExhausted
	case !to.EverListed:
		return ServerNotReady
	}
	if denial := mayRetry(now, r, to); denial != Allowed {
		return denial
	}
	return mayUseServer(now, r, to, lease)
}

// MayWrite tells whether the first byte of an attempt that has been dialled may be written. deadline is when
// the relay gives the attempt up; clientGone, that the client's end has come, read or unread.
func MayWrite(
	now, deadline time.Duration, r Request, to ServerStatus, lease *EndpointLease, clientGone bool,
) Denial {
	switch {
	case !r.Pending:
		return RequestNotPending
	case r.OwnershipLost:
		return OwnershipLost
	case now >= deadline:
		return AttemptTimedOut
	}
	if denial := mayUseServer(now, r, to, lease); denial != Allowed {
		return denial
	}
	if clientGone {
		return ClientGone
	}
	return mayRetry(now, r, to)
}

// mayUseServer tells whether something new may go to a server.
func mayUseServer(now time.Duration, r Request, to ServerStatus, lease *EndpointLease) Denial {
	switch {
	case r.Resumed:
		return Allowed
	case !to.Ready:
		return ServerNotReady
	case !lease.Valid(now):
		return EndpointLeaseExpired
	}
	return Allowed
}

// mayRetry tells whether a request whose earlier attempt may have run can go to a server.
func mayRetry(now time.Duration, r Request, to ServerStatus) Denial {
	switch {
	case !r.MayHaveRun, r.Idempotency == decide.Idempotent:
		return Allowed
	case r.Idempotency == decide.NonIdempotent:
		return MayHaveRun
	case now-r.MayHaveRunAt >= r.DedupWindow:
		return DedupWindowOver
	case !recognizesRetry(r, to):
		return OutsideDedupScope
	}
	return Allowed
}

// recognizesRetry tells whether the server shares idempotency keys with the one that may have run the
// request.
func recognizesRetry(r Request, to ServerStatus) bool {
	ran, next := r.MayHaveRunOn, to.Location
	return r.DedupScope.Covers(next.Zone == ran.Zone, next.Cell == ran.Cell)
}

// MayReject tells whether a request may be rejected, which promises the client that a retry is harmless. A
// request that may not be rejected fails.
func MayReject(r Request) Denial {
	switch {
	case r.Idempotency == decide.Idempotent:
		return Allowed
	case r.AttemptInFlight && r.MayHaveWritten:
		return MayHaveRun
	case r.MayHaveRun && !r.Idempotency.RepeatIsHarmless(r.DedupScope):
		return MayHaveRun
	}
	return Allowed
}

// MayAccept tells whether the relay may take on a request. shuttingDown holds for a drain by an operator too.
func MayAccept(shuttingDown, nameTaken bool) Denial {
	switch {
	case nameTaken:
		return NameTaken
	case shuttingDown:
		return RelayShuttingDown
	}
	return Allowed
}

// MayAnswer tells whether a request may be given a final answer: once, and not while a server serves it.
func MayAnswer(answered, established bool) Denial {
	if answered || established {
		return RequestNotPending
	}
	return Allowed
}
