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

// placedConn is a placed connection. It follows the server's frames, so that it can put a GOAWAY between two
// of them when the server begins to drain: gRPC then ends it after the calls in flight.
type placedConn struct {
	net.Conn
	request      *relay.Request
	attempt      int
	stopDial     func()
	drainTimeout time.Duration

	mu           sync.Mutex // guards what follows
	frames       frameTracker
	established  bool // gRPC has it, or may
	ended        bool
	woken        bool
	draining     bool // a GOAWAY is to be put in
	goAwaySent   bool
	injected     []byte // what is left to be read of a frame that was put in
	drainTimer   *time.Timer
	serverClosed bool
}

// serverConn is a placed connection as the event loop knows it, which calls it with its own lock held.
type serverConn struct{ *placedConn }

// Forward is never used: gRPC writes by itself.
func (s serverConn) Forward(p []byte) error {
	_, err := s.placedConn.Write(p)
	return err
}

// Close ends the dial or the connection; gRPC meets the end and reports it.
func (s serverConn) Close(relay.CloseKind) {
	s.stopDial()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.established {
		go s.placedConn.Close()
	}
}

// Wake makes the connection look at its request.
func (s serverConn) Wake() { s.wake() }

// markEstablished takes up a wake that came during the dial.
func (c *placedConn) markEstablished() {
	c.mu.Lock()
	c.established = true
	woken := c.woken
	c.mu.Unlock()
	if state, _ := c.request.State(); state == relay.Ended { // the dial's caller left just now
		c.Close()
	}
	if woken {
		c.wake()
	}
}

// wake has a goroutine of its own check whether the connection is to drain: whoever wakes may hold its lock.
func (c *placedConn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	if c.established && !c.ended && !c.draining {
		go c.checkDrain()
	}
}

// checkDrain begins to drain if the request is to be migrated or its server drains. A pending read is cut
// short to put the GOAWAY in.
func (c *placedConn) checkDrain() {
	if migrating, _ := c.request.Migrating(); !migrating && !c.request.ServerDraining() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.draining {
		return
	}
	c.draining = true
	c.drainTimer = time.AfterFunc(c.drainTimeout, func() { c.Conn.Close() })
	c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the connection for gRPC and reports the end, once. It is idempotent. Its error is the network's.
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

// Read reads what the server sends, and a GOAWAY once the connection drains. Its error is the network's.
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

// beginRead puts the GOAWAY in if that is due, or bounds the read to come.
func (c *placedConn) beginRead(p []byte) (injected, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && !c.goAwaySent && c.frames.betweenFrames() {
		c.goAwaySent, c.injected = true, goAwayFrame
	}
	if c.draining { // the deadline that cut a read short has done its work: the frame's rest is waited for
		c.Conn.SetReadDeadline(time.Time{})
	}
	if len(c.injected) > 0 {
		injected = copy(p, c.injected)
		c.injected = c.injected[injected:]
		return injected, 0
	}
	return 0, c.frames.limitRead(len(p))
}

// endRead returns whether the read was cut short to look at a drain, and is to be made again.
func (c *placedConn) endRead(p []byte, err error) (cutShort bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frames.noteRead(p)
	cutShort = errors.Is(err, os.ErrDeadlineExceeded) && c.draining && len(p) == 0
	c.serverClosed = c.serverClosed || err != nil && !cutShort
	return cutShort
}

// Write writes to the server. Its error is the network's.
func (c *placedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.frames.noteWrite(p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}
