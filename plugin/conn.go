package plugin

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// placedConn is a placed connection. It follows the server's frames, so that it can put a GOAWAY between two of
// them when the server begins to drain: gRPC then ends it after the calls in flight.
type placedConn struct {
	net.Conn
	dialer  *Dialer
	request *relay.Request
	attempt int
	stop    func()

	mu            sync.Mutex
	established   bool // the client side has it, or may
	ended         bool
	woken         bool
	draining      bool // a GOAWAY is to be put in
	goAwaySent    bool
	plaintext     bool // HTTP/2 without TLS
	prefaceSeen   bool
	serverClosed  bool // the server ended it
	drainTimer    *time.Timer
	settingsDue   bool   // no frame has come yet: the first must be the server's own settings
	frameHeader   []byte // of the frame that is being read
	frameBodyLeft int    // bytes of it still to come
	injected      []byte
}

// serverConn is a placed connection as the core knows it, which calls it with its own lock held.
type serverConn struct{ *placedConn }

// Forward is never used: gRPC writes by itself.
func (r serverConn) Forward(p []byte) error {
	_, err := r.placedConn.Write(p)
	return err
}

// Close ends the dial or the connection; gRPC meets the end and tells the core.
func (r serverConn) Close(relay.CloseKind) {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.established {
		go r.placedConn.Close()
	}
}

// Wake makes the connection look at its call.
func (r serverConn) Wake() { r.checkDrain() }

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
		c.checkDrain()
	}
}

// checkDrain looks whether the connection is to end, and lets a pending read put the GOAWAY in.
func (c *placedConn) checkDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	if !c.established || c.ended || c.draining {
		return
	}
	go func() { // the core that wakes holds its lock
		if moving, _ := c.request.Migrating(); !moving && !c.request.ServerDraining() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended || c.draining {
			return
		}
		c.draining = true
		c.drainTimer = time.AfterFunc(relay.Duration(c.dialer.config.DrainMs), func() { c.Conn.Close() })
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}()
}

// Close ends the connection for gRPC and tells the core, once.
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

func (c *placedConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		c.mu.Lock()
		between := c.plaintext && !c.settingsDue && c.frameBodyLeft == 0 && len(c.frameHeader) == 0
		if c.draining && !c.goAwaySent && between {
			c.goAwaySent, c.injected = true, goAwayFrame
		}
		if c.draining && (c.goAwaySent || !c.plaintext) {
			c.Conn.SetReadDeadline(time.Time{})
		}
		if len(c.injected) > 0 {
			n := copy(p, c.injected)
			c.injected = c.injected[n:]
			c.mu.Unlock()
			return n, nil
		}
		want := len(p)
		if c.plaintext { // reads end where a frame's header or body does
			if c.frameBodyLeft > 0 {
				want = min(want, c.frameBodyLeft)
			} else {
				want = min(want, 9-len(c.frameHeader))
			}
		}
		if c.draining && !between { // the wake's deadline has done its work: the frame's rest is waited for
			c.Conn.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(p[:want])
		c.mu.Lock()
		c.trackFrames(p[:n])
		woken := errors.Is(err, os.ErrDeadlineExceeded) && c.draining && n == 0
		c.serverClosed = c.serverClosed || err != nil && !woken
		c.mu.Unlock()
		if !woken {
			return n, err
		}
	}
}

func (c *placedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.prefaceSeen && len(p) > 0 {
		c.prefaceSeen, c.plaintext = true, bytes.HasPrefix(p, clientPreface[:min(len(p), len(clientPreface))])
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}
