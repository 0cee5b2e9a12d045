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

// awaitReachable returns nil if the fault rules let addr be reached. Otherwise it fails after the time-out or
// when the context ends.
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

// wrapFaulty wraps a connection that the fault rules may partition.
func wrapFaulty(conn net.Conn, addr string) net.Conn { return &faultyConn{Conn: conn, addr: addr} }

// faultyConn transfers no data while its peer is unreachable by the fault rules. Once the peer is
// reachable again the connection is reset, as the data of that time is lost.
type faultyConn struct {
	net.Conn
	addr     string
	dataLost atomic.Bool
}

// partitioned reports whether the peer is unreachable now, and records that data is lost if it is.
func (c *faultyConn) partitioned() bool {
	if !faultpoint.CanConnect(c.addr) {
		c.dataLost.Store(true)
		return true
	}
	return false
}

// Read discards the data that it reads while the peer is unreachable.
func (c *faultyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		switch {
		case c.partitioned() && err == nil:
			continue
		case c.dataLost.Load() && err == nil:
			return 0, syscall.ECONNRESET
		}
		return n, err
	}
}

// Write discards the data that is written while the peer is unreachable.
func (c *faultyConn) Write(b []byte) (int, error) {
	switch {
	case c.partitioned():
		return len(b), nil
	case c.dataLost.Load():
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(b)
}
