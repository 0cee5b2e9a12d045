package splice

import (
	"crypto/tls"
	"errors"
	"syscall"
	"time"
)

// maxPendingBytes is the maximum length of a line of the protocols.
const maxPendingBytes = 4096

// ReadPending returns received data that has not been read yet, up to maxPendingBytes, without blocking. An
// ordinary read whose deadline has passed returns no data, so that a last line received before a close would
// be lost. Every later read times out at once.
func (c *Conn) ReadPending() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.NetConn.SetReadDeadline(time.Unix(1, 0))
	p := make([]byte, maxPendingBytes)
	n := c.controlDescriptor(func(fd int) (int, error) { return syscall.Read(fd, p) })
	return p[:max(n, 0)]
}

// HasUnread reports, without blocking, whether data or the end of the stream (EOF or a reset) has been
// received and not been read yet.
func (c *Conn) HasUnread() bool { return c.peek() >= 0 }

// PeerClosed reports, without blocking, whether the next read would return the end of the stream.
func (c *Conn) PeerClosed() bool { return c.peek() == 0 }

// peek returns 1 if data can be read without blocking, 0 at the end of the stream, and a negative number if
// nothing has been received.
func (c *Conn) peek() int {
	p := make([]byte, 1)
	return c.controlDescriptor(func(fd int) (int, error) {
		n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.ECONNRESET) {
			return 0, nil
		}
		return n, err
	})
}

// controlDescriptor makes one non-blocking system call on the connection's descriptor, and repeats it after
// EINTR. It returns the call's result, or a negative number if the call failed or there is no descriptor.
func (c *Conn) controlDescriptor(call func(fd int) (int, error)) int {
	conn := c.NetConn
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
