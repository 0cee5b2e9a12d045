package plugin

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// placedConn is a connection to the server that the decision module chose. It tracks the boundaries of the
// server's frames, so that it can insert a GOAWAY frame when the server begins to drain. gRPC then closes the
// connection after the calls in flight. gRPC reads in one goroutine and writes in another, and its first read
// is pending before its first write.
type placedConn struct {
	net.Conn
	request      *relay.Request
	attempt      int
	stopDial     func()
	drainTimeout time.Duration

	mu           sync.Mutex // guards the fields below
	frames       frameTracker
	established  bool      // the connection may have been returned to gRPC
	ended        bool      // Close has been called
	woken        bool      // wake has been called
	draining     bool      // a GOAWAY must be inserted, unless goAwaySent
	readDeadline time.Time // set by gRPC; the zero time means none
	interrupting bool      // the connection's read deadline interrupts the pending read instead
	goAwaySent   bool
	injected     []byte // the part of the inserted GOAWAY that has not been read yet
	drainTimer   *time.Timer
	serverClosed bool // a read has failed
}

// serverConn is a placedConn as the event loop uses it. The event loop calls its methods with a lock held.
type serverConn struct{ *placedConn }

// Forward is never used, as gRPC writes to the connection directly.
func (s serverConn) Forward(p []byte) error {
	_, err := s.placedConn.Write(p)
	return err
}

// Close cancels the dial or closes the connection. gRPC gets an error and reports it.
func (s serverConn) Close(relay.CloseKind) {
	s.stopDial()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.established {
		go s.placedConn.Close()
	}
}

// Wake makes the connection check whether it must drain.
func (s serverConn) Wake() { s.wake() }

// markEstablished marks the connection as established and handles a wake that came during the dial.
func (c *placedConn) markEstablished() {
	c.mu.Lock()
	c.established = true
	woken := c.woken
	c.mu.Unlock()
	if state, _ := c.request.State(); state == relay.Ended { // the caller of Dial gave up in the meantime
		c.Close()
	}
	if woken {
		c.wake()
	}
}

// wake checks in a new goroutine whether the connection must drain. The caller may hold a lock that the check
// needs.
func (c *placedConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	if c.established && !c.ended && !c.draining {
		go c.checkDrain()
	}
}

// checkDrain starts to drain the connection if the request is to be migrated or its server drains.
func (c *placedConn) checkDrain() {
	if migrating, _ := c.request.Migrating(); migrating || c.request.ServerDraining() {
		c.beginDrain()
	}
}

// beginDrain starts to drain the connection, unless it drains already or has ended.
func (c *placedConn) beginDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.draining {
		return
	}
	c.draining = true
	c.drainTimer = time.AfterFunc(c.drainTimeout, func() { c.Conn.Close() })
	c.interruptRead()
}

// goAwayDue reports whether the GOAWAY must be inserted before anything else is read. The caller holds mu.
func (c *placedConn) goAwayDue() bool {
	return c.draining && !c.goAwaySent && c.frames.betweenFrames()
}

// interruptRead makes a pending read return, and Read check whether the GOAWAY is due. The caller holds mu.
func (c *placedConn) interruptRead() {
	c.interrupting = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline sets the deadline of reads. Errors are network errors.
func (c *placedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	if c.interrupting { // beginRead sets the new deadline
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline sets the deadlines of reads and writes. Errors are network errors.
func (c *placedConn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// Close closes the connection and reports the end of the attempt. Further calls do nothing. Errors are
// network errors.
func (c *placedConn) Close() error {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return nil
	}
	c.ended = true
	status := decide.OK
	switch {
	case c.draining:
		status = decide.Cancelled
	case c.serverClosed:
		status = decide.Reset
	}
	if c.drainTimer != nil {
		c.drainTimer.Stop()
	}
	c.mu.Unlock()
	err := c.Conn.Close()
	c.request.EndAttempt(c.attempt, status, decide.NoLoadReport)
	return err
}

// Read reads from the server. Once the connection drains, it also returns a GOAWAY frame. Errors are network
// errors.
func (c *placedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		injected, limit := c.beginRead(p)
		if injected > 0 {
			return injected, nil
		}
		n, err := c.Conn.Read(p[:limit])
		if !c.endRead(p[:n], err) {
			return n, err
		}
	}
}

// beginRead copies the GOAWAY to p if it is due, and returns the number of bytes copied. Otherwise it returns
// the limit of the next read.
func (c *placedConn) beginRead(p []byte) (injected, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.goAwayDue() {
		c.goAwaySent, c.injected = true, goAwayFrame
	}
	if c.interrupting {
		c.interrupting = false
		c.Conn.SetReadDeadline(c.readDeadline)
	}
	if len(c.injected) > 0 {
		injected = copy(p, c.injected)
		c.injected = c.injected[injected:]
		return injected, 0
	}
	if c.draining && !c.goAwaySent {
		return 0, c.frames.limitRead(len(p))
	}
	return 0, len(p)
}

// endRead records the result of a read. It returns true if the read was interrupted by interruptRead and must
// be repeated.
func (c *placedConn) endRead(p []byte, err error) (interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames.recordRead(p)
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	c.serverClosed = c.serverClosed || err != nil && !timedOut
	return timedOut && c.interrupting && len(p) == 0
}

// Write writes to the server. Errors are network errors.
func (c *placedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.frames.recordWrite(p) && c.draining {
		c.interruptRead() // the pending read is not limited to a frame, and the server may send nothing more
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}
