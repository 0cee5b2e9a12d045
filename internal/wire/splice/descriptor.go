package splice

import (
	"crypto/tls"
	"errors"
	"syscall"
	"time"
)

// pendingBytes is the length of the longest line.
const pendingBytes = 4096

// ReadPending returns what has come and not been read, up to pendingBytes, without a wait. A read whose
// deadline has passed looks at nothing: a last line that came before a close would be discarded unseen. Every
// later read returns at once.
func (e *Conn) ReadPending() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.NetConn.SetReadDeadline(time.Unix(1, 0))
	p := make([]byte, pendingBytes)
	n := e.controlDescriptor(func(fd int) (int, error) { return syscall.Read(fd, p) })
	return p[:max(n, 0)]
}

// HasUnread tells, without a wait, whether bytes of the peer, or its end, have come that nobody has read yet.
func (e *Conn) HasUnread() bool { return e.peek() >= 0 }

// PeerClosed tells, without a wait, whether the peer's end is the next thing to read.
func (e *Conn) PeerClosed() bool { return e.peek() == 0 }

// peek returns how many bytes can be read at once (1 for any), 0 at the peer's end, and a negative number if
// nothing has come.
func (e *Conn) peek() int {
	p := make([]byte, 1)
	return e.controlDescriptor(func(fd int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.ECONNRESET) {
			return 0, nil
		}
		return n, err
	})
}

// controlDescriptor makes one call on the connection's descriptor, which must not wait, again after EINTR. It
// returns a negative number where the call failed or there is no descriptor.
func (e *Conn) controlDescriptor(call func(fd int) (int, error)) int {
	conn := e.NetConn
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
