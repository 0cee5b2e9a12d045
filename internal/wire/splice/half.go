// Package splice is one TCP or TLS connection as the two sides of a call share it.
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
const WriteTimeout = 1000.0

// lingerFor is how long a connection that was ended cleanly waits for the other end. Closing one with
// unread bytes makes the kernel send a reset, which can overtake and destroy the last line written. Beyond
// lingerBytes nothing more is read: to throw away what a client sends at full speed costs processor time.
const (
	lingerFor   = 500.0
	lingerBytes = 256 << 10
)

// Half is one connection's end of a call, for the other side's goroutine and the core loop. A sticky wake
// makes a pending read return at once; a write never waits longer than WriteWithin.
type Half struct {
	mu     sync.Mutex
	Conn   net.Conn // nil while it is dialled
	Clock  *relay.Clock
	Stop   func() // ends the dial, if there is one
	woken  bool
	closed bool
	// hurried is closed once the connection's descriptor is wanted; nil until somebody needs to know.
	closeNowSignal chan struct{}
	closingNow     bool
}

// Attach gives the end its connection once it is dialled; false if it was closed meanwhile.
func (e *Half) Attach(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Conn = conn
	return !e.closed
}

// SetReadUntil sets when a pending read returns at the latest, unless the end has been woken already; 0 is never.
func (e *Half) SetReadUntil(at float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.woken || e.closed:
	case at == 0:
		e.Conn.SetReadDeadline(time.Time{})
	default:
		e.Conn.SetReadDeadline(e.Clock.WallDeadlineMillis(at))
	}
}

// Closed tells whether the end has been closed: by its call's other side, or because the attempt is called off.
func (e *Half) Closed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// ClearWake lets reads wait again after a wake.
func (e *Half) ClearWake() {
	e.mu.Lock()
	e.woken = false
	e.mu.Unlock()
}

// Wake makes the goroutine that reads the connection look at its call.
func (e *Half) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.woken = true
	if e.Conn != nil && !e.closed {
		e.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseNow makes the goroutine that reads the connection end it without a wait, even one for the peer's end.
func (e *Half) CloseNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closingNow {
		return
	}
	e.woken, e.closingNow = true, true
	close(e.closeNowChannel())
	if e.Conn != nil {
		e.Conn.SetDeadline(time.Unix(1, 0))
	}
}

// ClosingNow tells whether Hurry was called.
func (e *Half) ClosingNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closingNow
}

// closeNowChannel is the channel that Hurry closes. The caller holds the lock.
func (e *Half) closeNowChannel() chan struct{} {
	if e.closeNowSignal == nil {
		e.closeNowSignal = make(chan struct{})
	}
	return e.closeNowSignal
}

// Forward writes to the connection.
func (e *Half) Forward(p []byte) error {
	e.Conn.SetWriteDeadline(e.Clock.WallDeadlineMillis(e.Clock.NowMillis() + WriteTimeout))
	_, err := e.Conn.Write(p)
	return err
}

// Close ends the connection: cleanly, with a bounded wait for the peer's end, or with a reset. The
// goroutine that reads the connection closes it for good.
func (e *Half) Close(how relay.CloseKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	if e.Stop != nil {
		e.Stop()
	}
	half, ok := e.Conn.(interface{ CloseWrite() error }) // TCP and TLS have it
	switch {
	case e.Conn == nil:
	case ok && how == relay.GracefulClose:
		half.CloseWrite()
		if !e.closingNow {
			e.Conn.SetReadDeadline(e.Clock.WallDeadlineMillis(e.Clock.NowMillis() + lingerFor))
		}
	default:
		raw := e.Conn
		if t, ok := raw.(*tls.Conn); ok {
			raw = t.NetConn()
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		raw.Close()
	}
}

// CloseAndDiscard throws away what still comes, until the peer's end, the bounded wait or Hurry, then closes for good. A peer
// that goes on sending is left to its full buffers until then, so that it can read the last line first.
func (e *Half) CloseAndDiscard() {
	began := e.Clock.NowMillis()
	e.Close(relay.GracefulClose)
	if n, err := io.Copy(io.Discard, io.LimitReader(e.Conn, lingerBytes)); n == lingerBytes && err == nil {
		e.mu.Lock()
		hurried := e.closeNowChannel()
		e.mu.Unlock()
		select {
		case <-e.Clock.AfterMillis(began + lingerFor - e.Clock.NowMillis()):
		case <-hurried:
		}
	}
	if e.ClosingNow() { // a close over unread bytes would send a reset, which may overtake the last line
		e.ReadPending()
	}
	e.Conn.Close()
}
