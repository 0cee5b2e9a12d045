// Package link is one TCP or TLS connection as the two sides of a call share it.
package link

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
	"capersail/internal/memory"
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
	Clock  *memory.Clock
	Stop   func() // ends the dial, if there is one
	woken  bool
	closed bool
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

// Pass writes to the connection.
func (e *End) Pass(p []byte) error {
	e.Conn.SetWriteDeadline(e.Clock.Wall(e.Clock.Now() + WriteWithin))
	_, err := e.Conn.Write(p)
	return err
}

// Close ends the connection: cleanly, with a bounded wait for the peer's end, or with a reset. The
// goroutine that reads the connection closes it for good.
func (e *End) Close(how memory.Ending) {
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
	case ok && how == memory.Clean:
		half.CloseWrite()
		e.Conn.SetReadDeadline(e.Clock.Wall(e.Clock.Now() + lingerFor))
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

// Drain throws away what still comes, until the peer's end or the bounded wait, then closes for good. A peer
// that goes on sending is left to its full buffers until then, so that it can read the last line first.
func (e *End) Drain() {
	began := e.Clock.Now()
	e.Close(memory.Clean)
	if n, err := io.Copy(io.Discard, io.LimitReader(e.Conn, lingerBytes)); n == lingerBytes && err == nil {
		<-e.Clock.After(began + lingerFor - e.Clock.Now())
	}
	e.Conn.Close()
}

// Undialled is the outcome of an attempt whose dial failed. One that failed for want of something of our
// own, such as descriptors, says nothing of the server: taken for its failure it would leave a sound one out.
func Undialled(err error) decide.Status {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
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
func Ending(err error) memory.Ending {
	if errors.Is(err, io.EOF) {
		return memory.Clean
	}
	return memory.Broken
}

// TimedOut tells whether a deadline or a wake cut a read short.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Dial connects. Keep-alive stays off: it notices nothing that the protocols' own lines do not.
func Dial(ctx context.Context, addr string, within float64) (net.Conn, error) {
	if err := reach(ctx, addr, within); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: memory.Duration(max(within, 1)), KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return through(conn, addr), nil
}
