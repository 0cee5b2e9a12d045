package relay

import "capersail/decide"

// OwnershipLease is a call's right to be served by this relay, where a stream may be at one relay only. Its methods
// must not block.
type OwnershipLease interface {
	// Wait tells whether the call is to wait for the claim.
	MustWait() bool
	// Begin asks for it. It ends in Claimed or Unclaimed where the call waits; later Lapse may follow.
	Acquire(c *Request)
	// Release gives it back: neither side has anything to do with the call any more.
	Release()
}

// ClientConn is the client side's end of a call. Pass and Close are called by the server side only, once
// the call is up. Wake must not block; it says that the call's state has changed. Pending, which must not block either,
// tells whether the client's end has come, or what spoils the call, that the client side has had no time to read yet.
type ClientConn interface {
	Forward(p []byte) error
	Close(how CloseKind)
	Wake()
	HasUnread() bool
}

// ServerConn is the server side's end of an attempt. Close and Wake must not block. Wake says that the call is
// to be moved, that its server has begun to drain, or that the client side has left something for it.
type ServerConn interface {
	Forward(p []byte) error
	Close(how CloseKind)
	Wake()
}

// Attempt is one wanted send.
type Attempt struct {
	Number         int
	Server         Server
	StartedAt      float64
	Deadline       float64 // when the relay stops waiting
	ClientDeadline float64 // when the client does
}

// ServerDialer is the server side as the core sees it. Neither method may block.
type ServerDialer interface {
	StartAttempt(c *Request, a Attempt)
	Probe(s Server, done func(status decide.Status, report decide.LoadReport))
}

// currentServer finds the server of an attempt as the newest list has it. The roster never drops one.
func (a *Attempt) currentServer() *Server { return a.Server.current }

// CloseKind is how one side of a call ended, so that the other can be ended in the same way.
type CloseKind uint8

// The ways to end.
const (
	GracefulClose CloseKind = iota
	AbortiveClose
)
