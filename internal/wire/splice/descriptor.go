package splice

import (
	"crypto/tls"
	"errors"
	"syscall"
	"time"
)

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
