package relay

import (
	"time"

	"capersail/decide"
)

// ClientConn is the client side's connection of a request, as the server side uses it.
type ClientConn interface {
	// Forward writes to the client. Only the server side calls it, after the request has been established.
	Forward(p []byte) error
	// Close closes the client's connection. Only the server side calls it, after the request has been
	// established.
	Close(kind CloseKind)
	// Wake notifies the client side that the state of the request has changed. It must not block.
	Wake()
	// HasUnread reports whether the client has closed its connection, or sent data that violates the
	// protocol, and the client side has not read that yet. It must not block.
	HasUnread() bool
}

// ServerConn is the server side's connection of an attempt, as the client side and the table use it.
type ServerConn interface {
	// Forward writes to the server.
	Forward(p []byte) error
	// Close closes the attempt's connection. It must not block.
	Close(kind CloseKind)
	// Wake notifies the server side that the request is to be migrated, that its server has started to drain,
	// or that the client side has put something into the shared payload. It must not block.
	Wake()
}

// ServerDialer is the part of the server side that starts attempts and probes. Its methods must not block.
type ServerDialer interface {
	// StartAttempt starts one attempt. The server side must call r.EndAttempt exactly once when it ends.
	StartAttempt(r *Request, a Attempt)
	// Probe requests the load report of a server and calls done exactly once.
	Probe(s Server, done func(status decide.Status, report decide.LoadReport))
}

// OwnershipLease is the right of this relay to serve a request whose stream may be served by only one relay
// at a time. Its methods must not block.
type OwnershipLease interface {
	// MustWait reports whether the request has to wait until the lease is acquired.
	MustWait() bool
	// Acquire requests the lease. If the request has to wait, r.OwnershipAcquired or r.OwnershipDenied is
	// called with the result. r.OwnershipLost may be called later.
	Acquire(r *Request)
	// Release gives up the lease. It is called when both sides have finished with the request.
	Release()
}

// Attempt describes one attempt that the server side makes. Instants are on the relay's clock.
type Attempt struct {
	Number         int // sequence number within the request, from 0
	Server         Server
	StartedAt      time.Duration
	Deadline       time.Duration // when the relay abandons the attempt
	ClientDeadline time.Duration // when the client stops waiting
}

// currentServer returns the attempt's server with its status by the newest endpoint list. Entries for servers
// are never deleted. It returns nil before the first attempt.
func (a *Attempt) currentServer() *Server { return a.Server.listEntry }
