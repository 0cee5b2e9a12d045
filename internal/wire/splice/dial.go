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

// localErrors are what a dial fails with for want of something on this machine: a descriptor, memory, a
// route.
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE,
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN,
	syscall.EPERM,
}

// DialStatus is the outcome of an attempt whose dial failed. A failure of this machine says nothing of the
// server: taken for the server's it would eject a healthy one.
func DialStatus(err error) decide.Status {
	for _, errno := range localErrors {
		if errors.Is(err, errno) {
			return decide.Superseded
		}
	}
	return decide.ConnectFailed
}

// ProbeStatus is DialStatus for a health check, which tells a server that does not answer from one that
// refuses the connection.
func ProbeStatus(err error) decide.Status {
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return decide.TimedOut
	}
	return DialStatus(err)
}

// CloseKindOf is how a connection ended whose read returned err: cleanly after io.EOF, abortively otherwise.
func CloseKindOf(err error) relay.CloseKind {
	if errors.Is(err, io.EOF) {
		return relay.GracefulClose
	}
	return relay.AbortiveClose
}

// TimedOut tells whether a deadline or a Wake cut a read short.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// minDialTimeout is what a dial gets at least, however near its deadline is.
const minDialTimeout = time.Millisecond

// Dial connects within a timeout, of minDialTimeout at least. TCP keep-alive stays off: the protocols have
// their own. Its error is the network's, for DialStatus and ProbeStatus.
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
	return makeCuttable(conn, addr), nil
}
