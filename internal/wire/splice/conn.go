// Package splice is one TCP or TLS connection as the two sides of a request share it: the goroutine that
// reads it, the other side's goroutine, which writes and ends it, and the event loop, which wakes it. It
// knows no protocol.
package splice

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"capersail/internal/relay"
)

// WriteTimeout bounds every write: a peer that takes nothing for so long has its connection ended.
const WriteTimeout = time.Second

const (
	// lingerFor is how long a connection that was closed cleanly waits for its peer's end. A close over
	// unread bytes makes the kernel send a reset, which can overtake and destroy the last line written.
	lingerFor = 500 * time.Millisecond
	// lingerBytes bounds what is read and discarded meanwhile: a client that sends at full speed costs
	// processor time.
	lingerBytes = 256 << 10
)

// Conn is one of the two connections of a request. Its methods may be called by several goroutines; only one
// of them reads. A wake is sticky: reads return at once until ClearWake. A write never waits longer than
// WriteTimeout. Once closed, a Conn stays closed.
type Conn struct {
	mu         sync.Mutex
	NetConn    net.Conn // nil while it is dialled
	Clock      *relay.Clock
	CancelDial func() // ends the dial, if there is one
	woken      bool
	closed     bool
	// closeNowSignal is closed by CloseNow; nil until somebody waits for it.
	closeNowSignal chan struct{}
	closingNow     bool
}

// Attach sets the connection once it is dialled. It tells whether the connection is still open.
func (e *Conn) Attach(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.NetConn = conn
	return !e.closed
}

// SetReadDeadline sets at which instant of the clock a read returns at the latest; 0 is never. It has no effect
// after a wake.
func (e *Conn) SetReadDeadline(at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.woken || e.closed:
	case at == 0:
		e.NetConn.SetReadDeadline(time.Time{})
	default:
		e.NetConn.SetReadDeadline(e.Clock.WallDeadline(at))
	}
}

// Closed tells whether Close was called: by the request's other side, or because the attempt is cancelled.
func (e *Conn) Closed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// ClearWake lets reads wait again after a Wake.
func (e *Conn) ClearWake() {
	e.mu.Lock()
	e.woken = false
	e.mu.Unlock()
}

// Wake makes the goroutine that reads the connection look at its request.
func (e *Conn) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.woken = true
	if e.NetConn != nil && !e.closed {
		e.NetConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseNow makes the goroutine that reads the connection close it without any wait, even one for the peer's
// end.
func (e *Conn) CloseNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closingNow {
		return
	}
	e.woken, e.closingNow = true, true
	close(e.closeNowChannel())
	if e.NetConn != nil {
		e.NetConn.SetDeadline(time.Unix(1, 0))
	}
}

// ClosingNow tells whether CloseNow was called.
func (e *Conn) ClosingNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closingNow
}

// closeNowChannel is the channel that CloseNow closes. The caller holds the lock.
func (e *Conn) closeNowChannel() chan struct{} {
	if e.closeNowSignal == nil {
		e.closeNowSignal = make(chan struct{})
	}
	return e.closeNowSignal
}

// Forward writes to the connection. Its error is the network's.
func (e *Conn) Forward(p []byte) error {
	e.NetConn.SetWriteDeadline(e.Clock.WallDeadline(e.Clock.Now() + WriteTimeout))
	_, err := e.NetConn.Write(p)
	return err
}

// Close ends the connection: cleanly, with a bounded wait for the peer's end, or with a reset. It is
// idempotent. The goroutine that reads the connection releases the descriptor.
func (e *Conn) Close(how relay.CloseKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	if e.CancelDial != nil {
		e.CancelDial()
	}
	half, ok := e.NetConn.(interface{ CloseWrite() error }) // TCP and TLS have it
	switch {
	case e.NetConn == nil:
	case ok && how == relay.GracefulClose:
		half.CloseWrite()
		if !e.closingNow {
			e.NetConn.SetReadDeadline(e.Clock.WallDeadline(e.Clock.Now() + lingerFor))
		}
	default:
		raw := e.NetConn
		if t, ok := raw.(*tls.Conn); ok {
			raw = t.NetConn()
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		raw.Close()
	}
}

// CloseAndDiscard closes cleanly, discards what still comes until the peer's end, the bounded wait or
// CloseNow, and releases the descriptor. A peer that goes on sending is left to its full buffers until then,
// so that it can read the last line first.
func (e *Conn) CloseAndDiscard() {
	began := e.Clock.Now()
	e.Close(relay.GracefulClose)
	if n, err := io.Copy(io.Discard, io.LimitReader(e.NetConn, lingerBytes)); n == lingerBytes && err == nil {
		e.mu.Lock()
		closeNow := e.closeNowChannel()
		e.mu.Unlock()
		select {
		case <-e.Clock.After(began + lingerFor - e.Clock.Now()):
		case <-closeNow:
		}
	}
	if e.ClosingNow() { // a close over unread bytes would send a reset, which may overtake the last line
		e.ReadPending()
	}
	e.NetConn.Close()
}
