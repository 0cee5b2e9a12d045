package relay

import (
	"time"

	"capersail/decide"
)

// ClientConn is the client side's end of a request.
type ClientConn interface {
	// Forward writes to the client. Only the server side calls it, once the request is established.
	Forward(p []byte) error
	// Close ends the client's connection. Only the server side calls it, once the request is established.
	Close(how CloseKind)
	// Wake says that the request's state has changed. It must not block.
	Wake()
	// HasUnread tells whether the client's end, or something that breaks the protocol, has come that the
	// client side has had no time to read yet. It must not block.
	HasUnread() bool
}

// ServerConn is the server side's end of an attempt.
type ServerConn interface {
	// Forward writes to the server.
	Forward(p []byte) error
	// Close ends the attempt's connection. It must not block.
	Close(how CloseKind)
	// Wake says that the request is to be migrated, that its server has begun to drain, or that the client
	// side has left something for it. It must not block.
	Wake()
}

// ServerDialer is the server side as the event loop sees it. Neither method may block.
type ServerDialer interface {
	// StartAttempt makes one attempt, which ends in EndAttempt of the request, once.
	StartAttempt(r *Request, a Attempt)
	// Probe asks a server for its load and calls done, once.
	Probe(s Server, done func(status decide.Status, report decide.LoadReport))
}

// OwnershipLease is a request's right to be served by this relay, where a stream may be at one relay only.
// Its methods must not block.
type OwnershipLease interface {
	// MustWait tells whether the request has to wait for the lease.
	MustWait() bool
	// Acquire asks for the lease. It ends in OwnershipAcquired or OwnershipDenied of the request where that
	// waits; OwnershipLost may follow.
	Acquire(r *Request)
	// Release gives the lease back: neither side has anything to do with the request any more.
	Release()
}

// Attempt is one attempt that the server side is to make. Instants are on the relay's clock.
type Attempt struct {
	Number         int // of the request, from 0
	Server         Server
	StartedAt      time.Duration
	Deadline       time.Duration // when the relay gives the attempt up
	ClientDeadline time.Duration // when the client stops waiting
}

// currentServer returns the attempt's server as the newest endpoint list has it, which never drops one; nil
// before the first attempt.
func (a *Attempt) currentServer() *Server { return a.Server.listEntry }
