// Package splice is one TCP or TLS connection as the two sides of a call share it.
package splice

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// WriteTimeout bounds every write: a peer that takes nothing for so long has its connection ended.
const WriteTimeout = 1000.0

// lingerFor is how long a connection that was ended cleanly waits for the other end. Closing one with
// unread bytes makes the kernel send a reset, which can overtake and destroy the last line written. Beyond
// lingerBytes nothing more is read: to throw away what a client sends at full speed costs processor time.
const (
	lingerFor   = 500.0
	lingerBytes = 256 << 10
)

// Half is one connection's end of a call, for the other side's goroutine and the core loop. A sticky wake
// makes a pending read return at once; a write never waits longer than WriteWithin.
type Half struct {
	mu     sync.Mutex
	Conn   net.Conn // nil while it is dialled
	Clock  *relay.Clock
	Stop   func() // ends the dial, if there is one
	woken  bool
	closed bool
	// hurried is closed once the connection's descriptor is wanted; nil until somebody needs to know.
	closeNowSignal chan struct{}
	closingNow     bool
}

// Attach gives the end its connection once it is dialled; false if it was closed meanwhile.
func (e *Half) Attach(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Conn = conn
	return !e.closed
}

// SetReadUntil sets when a pending read returns at the latest, unless the end has been woken already; 0 is never.
func (e *Half) SetReadUntil(at float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.woken || e.closed:
	case at == 0:
		e.Conn.SetReadDeadline(time.Time{})
	default:
		e.Conn.SetReadDeadline(e.Clock.WallDeadlineMillis(at))
	}
}

// Closed tells whether the end has been closed: by its call's other side, or because the attempt is called off.
func (e *Half) Closed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// ClearWake lets reads wait again after a wake.
func (e *Half) ClearWake() {
	e.mu.Lock()
	e.woken = false
	e.mu.Unlock()
}

// Wake makes the goroutine that reads the connection look at its call.
func (e *Half) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.woken = true
	if e.Conn != nil && !e.closed {
		e.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseNow makes the goroutine that reads the connection end it without a wait, even one for the peer's end.
func (e *Half) CloseNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closingNow {
		return
	}
	e.woken, e.closingNow = true, true
	close(e.closeNowChannel())
	if e.Conn != nil {
		e.Conn.SetDeadline(time.Unix(1, 0))
	}
}

// ClosingNow tells whether Hurry was called.
func (e *Half) ClosingNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closingNow
}

// closeNowChannel is the channel that Hurry closes. The caller holds the lock.
func (e *Half) closeNowChannel() chan struct{} {
	if e.closeNowSignal == nil {
		e.closeNowSignal = make(chan struct{})
	}
	return e.closeNowSignal
}

// ReadPending returns what has come and not been read, up to a line's length, without a wait. A read whose deadline has passed
// does not look: a last line that came before a close would be thrown away unseen. Every later read returns at once.
func (e *Half) ReadPending() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Conn.SetReadDeadline(time.Unix(1, 0))
	p := make([]byte, 4096)
	n := e.controlDescriptor(func(fd int) (int, error) { return syscall.Read(fd, p) })
	return p[:max(n, 0)]
}

// HasUnread tells whether the peer's end, or bytes of the peer, have come that nobody has read yet, without a wait.
func (e *Half) HasUnread() bool { return e.peek() >= 0 }

// PeerClosed is Pending for a peer that may say something at any time: only its end counts.
func (e *Half) PeerClosed() bool { return e.peek() == 0 }

// peek returns how much can be read at once, 0 at the peer's end, and a negative number if nothing has come.
func (e *Half) peek() int {
	p := make([]byte, 1)
	return e.controlDescriptor(func(fd int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.ECONNRESET) {
			return 0, nil
		}
		return n, err
	})
}

// controlDescriptor makes one call on the connection's descriptor, which may not wait. It is negative where that failed, or there is none.
func (e *Half) controlDescriptor(call func(fd int) (int, error)) int {
	conn := e.Conn
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return -1
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	n := -1
	if rc.Control(func(fd uintptr) {
		for {
			var err error
			if n, err = call(int(fd)); !errors.Is(err, syscall.EINTR) {
				if err != nil {
					n = -1
				}
				return
			}
		}
	}) != nil {
		return -1
	}
	return n
}

// Forward writes to the connection.
func (e *Half) Forward(p []byte) error {
	e.Conn.SetWriteDeadline(e.Clock.WallDeadlineMillis(e.Clock.NowMillis() + WriteTimeout))
	_, err := e.Conn.Write(p)
	return err
}

// Close ends the connection: cleanly, with a bounded wait for the peer's end, or with a reset. The
// goroutine that reads the connection closes it for good.
func (e *Half) Close(how relay.CloseKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	if e.Stop != nil {
		e.Stop()
	}
	half, ok := e.Conn.(interface{ CloseWrite() error }) // TCP and TLS have it
	switch {
	case e.Conn == nil:
	case ok && how == relay.GracefulClose:
		half.CloseWrite()
		if !e.closingNow {
			e.Conn.SetReadDeadline(e.Clock.WallDeadlineMillis(e.Clock.NowMillis() + lingerFor))
		}
	default:
		raw := e.Conn
		if t, ok := raw.(*tls.Conn); ok {
			raw = t.NetConn()
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		raw.Close()
	}
}

// CloseAndDiscard throws away what still comes, until the peer's end, the bounded wait or Hurry, then closes for good. A peer
// that goes on sending is left to its full buffers until then, so that it can read the last line first.
func (e *Half) CloseAndDiscard() {
	began := e.Clock.NowMillis()
	e.Close(relay.GracefulClose)
	if n, err := io.Copy(io.Discard, io.LimitReader(e.Conn, lingerBytes)); n == lingerBytes && err == nil {
		e.mu.Lock()
		hurried := e.closeNowChannel()
		e.mu.Unlock()
		select {
		case <-e.Clock.AfterMillis(began + lingerFor - e.Clock.NowMillis()):
		case <-hurried:
		}
	}
	if e.ClosingNow() { // a close over unread bytes would send a reset, which may overtake the last line
		e.ReadPending()
	}
	e.Conn.Close()
}

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
