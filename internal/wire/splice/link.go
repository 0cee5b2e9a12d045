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

// WriteWithin bounds every write: a peer that takes nothing for so long has its connection ended.
const WriteWithin = 1000.0

// lingerFor is how long a connection that was ended cleanly waits for the other end. Closing one with
// unread bytes makes the kernel send a reset, which can overtake and destroy the last line written. Beyond
// lingerBytes nothing more is read: to throw away what a client sends at full speed costs processor time.
const (
	lingerFor   = 500.0
	lingerBytes = 256 << 10
)

// End is one connection's end of a call, for the other side's goroutine and the core loop. A sticky wake
// makes a pending read return at once; a write never waits longer than WriteWithin.
type End struct {
	mu     sync.Mutex
	Conn   net.Conn // nil while it is dialled
	Clock  *relay.Clock
	Stop   func() // ends the dial, if there is one
	woken  bool
	closed bool
	// hurried is closed once the connection's descriptor is wanted; nil until somebody needs to know.
	hurried chan struct{}
	hurry   bool
}

// Attach gives the end its connection once it is dialled; false if it was closed meanwhile.
func (e *End) Attach(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Conn = conn
	return !e.closed
}

// Until sets when a pending read returns at the latest, unless the end has been woken already; 0 is never.
func (e *End) Until(at float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.woken || e.closed:
	case at == 0:
		e.Conn.SetReadDeadline(time.Time{})
	default:
		e.Conn.SetReadDeadline(e.Clock.Wall(at))
	}
}

// Over tells whether the end has been closed: by its call's other side, or because the attempt is called off.
func (e *End) Over() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// Rest lets reads wait again after a wake.
func (e *End) Rest() {
	e.mu.Lock()
	e.woken = false
	e.mu.Unlock()
}

// Wake makes the goroutine that reads the connection look at its call.
func (e *End) Wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.woken = true
	if e.Conn != nil && !e.closed {
		e.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Hurry makes the goroutine that reads the connection end it without a wait, even one for the peer's end.
func (e *End) Hurry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hurry {
		return
	}
	e.woken, e.hurry = true, true
	close(e.hurriedly())
	if e.Conn != nil {
		e.Conn.SetDeadline(time.Unix(1, 0))
	}
}

// Hurried tells whether Hurry was called.
func (e *End) Hurried() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hurry
}

// hurriedly is the channel that Hurry closes. The caller holds the lock.
func (e *End) hurriedly() chan struct{} {
	if e.hurried == nil {
		e.hurried = make(chan struct{})
	}
	return e.hurried
}

// Take returns what has come and not been read, up to a line's length, without a wait. A read whose deadline has passed
// does not look: a last line that came before a close would be thrown away unseen. Every later read returns at once.
func (e *End) Take() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Conn.SetReadDeadline(time.Unix(1, 0))
	p := make([]byte, 4096)
	n := e.raw(func(fd int) (int, error) { return syscall.Read(fd, p) })
	return p[:max(n, 0)]
}

// Pending tells whether the peer's end, or bytes of the peer, have come that nobody has read yet, without a wait.
func (e *End) Pending() bool { return e.peek() >= 0 }

// Ended is Pending for a peer that may say something at any time: only its end counts.
func (e *End) Ended() bool { return e.peek() == 0 }

// peek returns how much can be read at once, 0 at the peer's end, and a negative number if nothing has come.
func (e *End) peek() int {
	p := make([]byte, 1)
	return e.raw(func(fd int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.ECONNRESET) {
			return 0, nil
		}
		return n, err
	})
}

// raw makes one call on the connection's descriptor, which may not wait. It is negative where that failed, or there is none.
func (e *End) raw(call func(fd int) (int, error)) int {
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

// Pass writes to the connection.
func (e *End) Pass(p []byte) error {
	e.Conn.SetWriteDeadline(e.Clock.Wall(e.Clock.Now() + WriteWithin))
	_, err := e.Conn.Write(p)
	return err
}

// Close ends the connection: cleanly, with a bounded wait for the peer's end, or with a reset. The
// goroutine that reads the connection closes it for good.
func (e *End) Close(how relay.Ending) {
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
	case ok && how == relay.Clean:
		half.CloseWrite()
		if !e.hurry {
			e.Conn.SetReadDeadline(e.Clock.Wall(e.Clock.Now() + lingerFor))
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

// Drain throws away what still comes, until the peer's end, the bounded wait or Hurry, then closes for good. A peer
// that goes on sending is left to its full buffers until then, so that it can read the last line first.
func (e *End) Drain() {
	began := e.Clock.Now()
	e.Close(relay.Clean)
	if n, err := io.Copy(io.Discard, io.LimitReader(e.Conn, lingerBytes)); n == lingerBytes && err == nil {
		e.mu.Lock()
		hurried := e.hurriedly()
		e.mu.Unlock()
		select {
		case <-e.Clock.After(began + lingerFor - e.Clock.Now()):
		case <-hurried:
		}
	}
	if e.Hurried() { // a close over unread bytes would send a reset, which may overtake the last line
		e.Take()
	}
	e.Conn.Close()
}

// ownShortages are what a dial fails with for want of something on this machine, a route or the right to it among them.
var ownShortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EPERM, syscall.ENETUNREACH, syscall.ENETDOWN}

// Undialled is the outcome of an attempt whose dial failed. One that failed for want of something of our
// own, such as descriptors, says nothing of the server: taken for its failure it would leave a sound one out.
func Undialled(err error) decide.Status {
	for _, errno := range ownShortages {
		if errors.Is(err, errno) {
			return decide.Moot
		}
	}
	return decide.ConnectFailed
}

// Unprobed is the same for a probe, which tells a silent server from a dead one.
func Unprobed(err error) decide.Status {
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return decide.TimedOut
	}
	return Undialled(err)
}

// Ending tells a clean end from a break.
func Ending(err error) relay.Ending {
	if errors.Is(err, io.EOF) {
		return relay.Clean
	}
	return relay.Broken
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
