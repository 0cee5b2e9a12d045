package guard

import (
	"time"

	"capersail/decide"
)

// Request is the state of a request that a check is based on.
type Request struct {
	Pending         bool // it is owned by this relay, and neither answered nor established
	AttemptInFlight bool // the end of the latest attempt has not been reported
	MayHaveWritten  bool // the first byte of that attempt may have been written
	Attempts        int  // number of attempts started so far
	MaxAttempts     int  // limit from the settings, 0 for none; package decide plans fewer (retry.go)

	MayHaveRun   bool          // an attempt has ended without proof that the server never executed it
	MayHaveRunAt time.Duration // earliest instant at which the server may have executed that attempt
	MayHaveRunOn Location      // location of that attempt's server

	Idempotency decide.Idempotency
	DedupScope  decide.DedupScope
	DedupWindow time.Duration // how long servers recognize a retry

	// Resumed marks a connection that was open at its server before this relay started. It is re-established
	// at that server regardless of the endpoint list.
	Resumed       bool
	OwnershipLost bool // this relay may have lost the ownership lease of the stream
}

// Location is the zone and the cell of a server.
type Location struct {
	Zone string
	Cell int32
}

// ServerStatus is the status of the target server according to the newest endpoint list.
type ServerStatus struct {
	EverListed bool
	Ready      bool
	Location   Location
}

// MayAttempt reports whether an attempt may be started, that is, whether the server may be dialled. Writing
// to the server needs MayWrite in addition.
func MayAttempt(now time.Duration, r Request, server ServerStatus, lease *EndpointLease) Denial {
	switch {
	case !r.Pending:
		return RequestNotPending
	case r.OwnershipLost:
		return OwnershipLost
	case r.AttemptInFlight:
		return AttemptInFlight
	case r.MaxAttempts > 0 && r.Attempts >= r.MaxAttempts:
		return AttemptsExhausted
	case !server.EverListed:
		return ServerNotReady
	}
	if denial := mayRetry(now, r, server); denial != Allowed {
		return denial
	}
	return mayUseServer(now, r, server, lease)
}

// MayWrite reports whether the first byte of a dialled attempt may be written. deadline is the instant at
// which the relay abandons the attempt. clientGone says that the client has closed its connection or violated
// the protocol, even if the client side has not read that yet.
func MayWrite(
	now, deadline time.Duration, r Request, server ServerStatus, lease *EndpointLease, clientGone bool,
) Denial {
	switch {
	case !r.Pending:
		return RequestNotPending
	case r.OwnershipLost:
		return OwnershipLost
	case now >= deadline:
		return AttemptTimedOut
	}
	if denial := mayUseServer(now, r, server, lease); denial != Allowed {
		return denial
	}
	if clientGone {
		return ClientGone
	}
	return mayRetry(now, r, server)
}

// mayUseServer reports whether new traffic may be sent to a server.
func mayUseServer(now time.Duration, r Request, server ServerStatus, lease *EndpointLease) Denial {
	switch {
	case r.Resumed:
		return Allowed
	case !server.Ready:
		return ServerNotReady
	case !lease.Valid(now):
		return EndpointLeaseExpired
	}
	return Allowed
}

// mayRetry reports whether a request may be sent to a server even though an earlier attempt may have been
// executed.
func mayRetry(now time.Duration, r Request, server ServerStatus) Denial {
	switch {
	case !r.MayHaveRun, r.Idempotency == decide.Idempotent:
		return Allowed
	case r.Idempotency == decide.NonIdempotent:
		return MayHaveRun
	case now-r.MayHaveRunAt >= r.DedupWindow:
		return DedupWindowOver
	case !recognizesRetry(r, server):
		return OutsideDedupScope
	}
	return Allowed
}

// recognizesRetry reports whether the server shares idempotency keys with the server that may have executed
// the request.
func recognizesRetry(r Request, server ServerStatus) bool {
	ran, next := r.MayHaveRunOn, server.Location
	return r.DedupScope.Covers(next.Zone == ran.Zone, next.Cell == ran.Cell)
}

// MayReject reports whether a request may be rejected, which promises the client that a retry is harmless. A
// request that may not be rejected must be failed instead.
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

// MayAccept reports whether the relay may accept a request. shuttingDown is also true while an operator
// drains the relay.
func MayAccept(shuttingDown, nameTaken bool) Denial {
	switch {
	case nameTaken:
		return NameTaken
	case shuttingDown:
		return RelayShuttingDown
	}
	return Allowed
}

// MayAnswer reports whether a request may be given a final answer: only once, and not after it has been
// established.
func MayAnswer(answered, established bool) Denial {
	if answered || established {
		return RequestNotPending
	}
	return Allowed
}
