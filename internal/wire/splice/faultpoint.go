//go:build !faults

package splice

import (
	"context"
	"net"
	"time"
)

// awaitReachable is where tests keep servers out of reach; this program does not.
func awaitReachable(context.Context, string, time.Duration) error { return nil }

// makeCuttable is where tests cut connections; this program does not.
func makeCuttable(conn net.Conn, _ string) net.Conn { return conn }
