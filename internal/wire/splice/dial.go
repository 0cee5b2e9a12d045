package splice

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// localErrors are the errors of a dial that failed because this machine lacks a descriptor, memory, a port, a
// route or the permission.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM,
}

// DialStatus returns the outcome of an attempt whose dial failed with err. An error of this machine is not
// attributed to the server, as that could eject a healthy server.
func DialStatus(err error) decide.Status {
	for _, errno := range localErrors {
		if errors.Is(err, errno) {
			return decide.Superseded
		}
	}
	return decide.ConnectFailed
}

// ProbeStatus is DialStatus for probes. It also distinguishes a server that does not answer the dial from one
// that refuses the connection.
func ProbeStatus(err error) decide.Status {
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return decide.TimedOut
	}
	return DialStatus(err)
}

// CloseKindOf returns how the peer closed a connection whose read returned err: gracefully if err is io.EOF,
// abortively otherwise.
func CloseKindOf(err error) relay.CloseKind {
	if errors.Is(err, io.EOF) {
		return relay.GracefulClose
	}
	return relay.AbortiveClose
}

// TimedOut reports whether err is that of a read interrupted by its deadline or by Conn.Wake.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// minDialTimeout is the minimum time-out of a dial, however near its deadline is.
const minDialTimeout = time.Millisecond

// Dial connects to addr within the time-out, or minDialTimeout if that is longer. TCP keep-alive is off, as
// the protocols have their own. Errors are not wrapped, for DialStatus and ProbeStatus.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	timeout = max(timeout, minDialTimeout)
	if err := awaitReachable(ctx, addr, timeout); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return wrapFaulty(conn, addr), nil
}
