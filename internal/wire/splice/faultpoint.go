//go:build !faults

package splice

import (
	"context"
	"net"
	"time"
)

// awaitReachable simulates unreachable servers in builds with the tag faults; here it returns at once.
func awaitReachable(context.Context, string, time.Duration) error { return nil }

// wrapFaulty simulates network partitions in builds with the tag faults; here it returns conn.
func wrapFaulty(conn net.Conn, _ string) net.Conn { return conn }
