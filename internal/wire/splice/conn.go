// Package splice provides the TCP and TLS connections that the two sides of a request share. One goroutine
// reads a connection, the goroutine of the request's other side writes to it and closes it, and the event
// loop wakes its reader. The package is independent of the protocol on the connection.
package splice

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"capersail/internal/relay"
)

// WriteTimeout bounds every write. A connection whose peer does not read for this long has failed.
const WriteTimeout = time.Second

const (
	// lingerTimeout is how long a connection that was closed gracefully waits for its peer to close. Closing
	// a socket with unread data makes the kernel send a reset, which can make the peer lose the last line
	// written.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds the data that is read and discarded during that time, as a client that sends at
	// full speed costs processor time.
	lingerBytes = 256 << 10
)

// Conn is one of the two connections of a request: the client's or the one to the server. Its methods may be
// called concurrently, but only one goroutine may read. After Wake, reads return at once until ClearWake is
// called. A write takes at most WriteTimeout. A closed Conn cannot be reopened.
type Conn struct {
	mu         sync.Mutex
	NetConn    net.Conn // nil until the dial has succeeded
	Clock      *relay.Clock
	CancelDial func() // cancels the dial; nil if there is none
	woken      bool
	closed     bool
	// writeErr is the error of a failed write, after which the peer may have received a part of a message.
	writeErr error
	// closeNowSignal is closed by CloseNow. It is nil until closeNowChannel is first called.
	closeNowSignal chan struct{}
	closingNow     bool
	// pauseEnd holds an element once the connection has been woken or closed since the last pause. It is nil
	// until pauseChannel is first called.
	pauseEnd chan struct{}

	// The state of PeerGone, which only the goroutine that reads the connection uses.
	peerCheckedAt time.Duration
	peerEndedAt   time.Duration // when the peer was first seen to have closed, 0 for never
	peerGone      error
}

// Attach sets the network connection after the dial. It reports whether the Conn has not been closed
// meanwhile.
func (c *Conn) Attach(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.NetConn = conn
	return !c.closed
}

// SetReadDeadline sets the instant of the clock at which reads time out; 0 means never. It has no effect
// between Wake and ClearWake, or on a closed Conn.
func (c *Conn) SetReadDeadline(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.woken || c.closed:
	case at == 0:
		c.NetConn.SetReadDeadline(time.Time{})
	default:
		c.NetConn.SetReadDeadline(c.Clock.WallDeadline(at))
	}
}

// Closed reports whether Close was called, by the request's other side or because the attempt was cancelled.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// ClearWake lets reads block again after Wake.
func (c *Conn) ClearWake() {
	c.mu.Lock()
	c.woken = false
	c.mu.Unlock()
}

// Pause blocks the goroutine that reads the connection for a duration, or until the connection is woken or
// closed, or its peer is gone.
func (c *Conn) Pause(d time.Duration) {
	c.mu.Lock()
	end := c.pauseChannel()
	c.mu.Unlock()
	for until := c.Clock.Now() + d; c.PeerGone() == nil; {
		left := until - c.Clock.Now()
		if left <= 0 {
			return
		}
		select {
		case <-end:
			return
		case <-time.After(min(left, PeerCheckInterval)):
		}
	}
}

// pauseChannel returns the channel that ends a pause. The caller must hold mu.
func (c *Conn) pauseChannel() chan struct{} {
	if c.pauseEnd == nil {
		c.pauseEnd = make(chan struct{}, 1)
	}
	return c.pauseEnd
}

// endPause ends a pause, or the next one. The caller must hold mu.
func (c *Conn) endPause() {
	select {
	case c.pauseChannel() <- struct{}{}:
	default:
	}
}

// Wake interrupts the goroutine that reads the connection, so that it checks the state of its request.
func (c *Conn) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	c.endPause()
	if c.NetConn != nil && !c.closed {
		c.NetConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseNow makes the goroutine that reads the connection close it immediately, without waiting for the peer
// to close.
func (c *Conn) CloseNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closingNow {
		return
	}
	c.woken, c.closingNow = true, true
	c.endPause()
	close(c.closeNowChannel())
	if c.NetConn != nil {
		c.NetConn.SetDeadline(time.Unix(1, 0))
	}
}

// ClosingNow reports whether CloseNow was called.
func (c *Conn) ClosingNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closingNow
}

// closeNowChannel returns the channel that CloseNow closes. The caller must hold mu.
func (c *Conn) closeNowChannel() chan struct{} {
	if c.closeNowSignal == nil {
		c.closeNowSignal = make(chan struct{})
	}
	return c.closeNowSignal
}

// Forward writes p to the connection. It returns the error of the network connection unchanged. After a
// failed write the peer may have received a part of p, so nothing more is written: further calls return the
// same error, and Close closes the connection with a reset.
func (c *Conn) Forward(p []byte) error {
	c.mu.Lock()
	earlier := c.writeErr
	c.mu.Unlock()
	if earlier != nil {
		return earlier
	}
	c.NetConn.SetWriteDeadline(c.Clock.WallDeadline(c.Clock.Now() + WriteTimeout))
	_, err := c.NetConn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.writeErr = err
		c.mu.Unlock()
	}
	return err
}

// Close closes the connection: gracefully, with a bounded wait for the peer to close, or with a reset, as
// always after a failed write. It is idempotent. After a graceful close the goroutine that reads the
// connection must release the descriptor.
func (c *Conn) Close(how relay.CloseKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.endPause()
	if c.CancelDial != nil {
		c.CancelDial()
	}
	halfCloser, ok := c.NetConn.(interface{ CloseWrite() error }) // implemented by TCP and TLS connections
	switch {
	case c.NetConn == nil:
	case ok && how == relay.GracefulClose && c.writeErr == nil:
		halfCloser.CloseWrite()
		if !c.closingNow {
			c.NetConn.SetReadDeadline(c.Clock.WallDeadline(c.Clock.Now() + lingerTimeout))
		}
	default:
		raw := c.NetConn
		if t, ok := raw.(*tls.Conn); ok {
			raw = t.NetConn()
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		raw.Close()
	}
}

// CloseAndDiscard closes the connection gracefully, discards incoming data until the peer closes,
// lingerTimeout has passed or CloseNow is called, and releases the descriptor. After lingerBytes it stops
// reading but still waits, so that a peer that sends on into full buffers can read the last line before the
// close.
func (c *Conn) CloseAndDiscard() {
	began := c.Clock.Now()
	c.Close(relay.GracefulClose)
	if n, err := io.Copy(io.Discard, io.LimitReader(c.NetConn, lingerBytes)); n == lingerBytes && err == nil {
		c.mu.Lock()
		closeNow := c.closeNowChannel()
		c.mu.Unlock()
		select {
		case <-c.Clock.After(began + lingerTimeout - c.Clock.Now()):
		case <-closeNow:
		}
	}
	if c.ClosingNow() { // a close with unread data would send a reset: see lingerTimeout
		c.ReadPending()
	}
	c.NetConn.Close()
}
