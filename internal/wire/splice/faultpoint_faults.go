//go:build faults

package splice

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"capersail/internal/testing/faultpoint"
)

// awaitReachable waits in vain, until the timeout, for a server that the rules keep out of reach.
func awaitReachable(ctx context.Context, addr string, timeout time.Duration) error {
	if faultpoint.CanConnect(addr) {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(timeout):
		return os.ErrDeadlineExceeded
	}
}

// makeCuttable wraps a connection that the rules may cut.
func makeCuttable(conn net.Conn, addr string) net.Conn { return &cuttable{Conn: conn, addr: addr} }

// cuttable transfers nothing while its other side is out of reach, and is reset once it is back: what was
// lost is lost.
type cuttable struct {
	net.Conn
	addr string
	lost atomic.Bool
}

func (c *cuttable) cut() bool {
	if !faultpoint.CanConnect(c.addr) {
		c.lost.Store(true)
		return true
	}
	return false
}

// Read returns nothing while the other side is out of reach.
func (c *cuttable) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case c.cut() && err == nil:
			continue
		case c.lost.Load() && err == nil:
			return 0, syscall.ECONNRESET
		}
		return n, err
	}
}

// Write loses what is written while the other side is out of reach.
func (c *cuttable) Write(b []byte) (int, error) {
	switch {
	case c.cut():
		return len(b), nil
	case c.lost.Load():
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(b)
}
