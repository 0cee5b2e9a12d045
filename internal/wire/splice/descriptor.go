package splice

import (
	"crypto/tls"
	"errors"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

const (
	// leaveGrace is how long after its peer has closed in order a connection's input may still be forwarded.
	// A request must not be begun later than 0.1 s after its client has left.
	leaveGrace = 80 * time.Millisecond
	// PeerCheckInterval is the interval at which a connection that is not read must be checked by PeerGone.
	PeerCheckInterval = 20 * time.Millisecond
)

// peerClose is how a peer has closed its connection.
type peerClose uint8

const (
	peerOpen   peerClose = iota
	peerEnded            // in order: the peer sends nothing more
	peerBroken           // with a reset
)

// PeerClosed reports, without blocking, whether the peer has closed its connection, also if that is behind
// data that has not been read.
func (c *Conn) PeerClosed() bool { return c.pollPeer() != peerOpen }

// PeerGone returns an error if what the peer has sent must not be forwarded any more, as it closed its
// connection leaveGrace ago or earlier: io.EOF, or ECONNRESET after a reset. Only the goroutine that reads the
// connection calls it. It may be called for each message.
func (c *Conn) PeerGone() error {
	now := c.Clock.Now()
	if now-c.peerCheckedAt < PeerCheckInterval {
		return c.peerGone
	}
	c.peerCheckedAt = now
	how := c.pollPeer()
	if how == peerOpen {
		return nil
	}
	if c.peerEndedAt == 0 {
		c.peerEndedAt = now
	}
	if now-c.peerEndedAt < leaveGrace-PeerCheckInterval {
		return nil
	}
	c.peerGone = io.EOF
	if how == peerBroken {
		c.peerGone = syscall.ECONNRESET
	}
	return c.peerGone
}

// pollPeer asks the kernel whether the peer has closed the connection.
func (c *Conn) pollPeer() peerClose {
	found := peerOpen
	c.controlDescriptor(func(fd int) (int, error) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		switch {
		case n <= 0:
		case poll[0].Revents&unix.POLLERR != 0:
			found = peerBroken
		case poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP) != 0:
			found = peerEnded
		}
		return n, err
	})
	return found
}

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
