//go:build !faults

package splice

import (
	"context"
	"net"
	"time"
)

// reach is where tests keep servers out of reach; this program does not.
func reach(context.Context, string, time.Duration) error { return nil }

// through is where tests cut connections; this program does not.
func through(conn net.Conn, _ string) net.Conn { return conn }
