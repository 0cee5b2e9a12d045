package splice

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"capersail/decide"
	"capersail/internal/relay"
)

// localErrors are what a dial fails with for want of something on this machine, a route or the right to it among them.
var localErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EPERM, syscall.ENETUNREACH, syscall.ENETDOWN}

// DialStatus is the outcome of an attempt whose dial failed. One that failed for want of something of our
// own, such as descriptors, says nothing of the server: taken for its failure it would leave a sound one out.
func DialStatus(err error) decide.Status {
	for _, errno := range localErrors {
		if errors.Is(err, errno) {
			return decide.Superseded
		}
	}
	return decide.ConnectFailed
}

// ProbeStatus is the same for a probe, which tells a silent server from a dead one.
func ProbeStatus(err error) decide.Status {
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return decide.TimedOut
	}
	return DialStatus(err)
}

// EndingOf tells a clean end from a break.
func EndingOf(err error) relay.CloseKind {
	if errors.Is(err, io.EOF) {
		return relay.GracefulClose
	}
	return relay.AbortiveClose
}

// TimedOut tells whether a deadline or a wake cut a read short.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Dial connects. Keep-alive stays off: it notices nothing that the protocols' own lines do not.
func Dial(ctx context.Context, addr string, within float64) (net.Conn, error) {
	if err := reach(ctx, addr, within); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: relay.Duration(max(within, 1)), KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return through(conn, addr), nil
}
