package lifecycle

import (
	"fmt"
	"net"
	"os"
	"time"
)

const (
	// unblockInterval is the time between two connections that closeSharedListener makes to end a blocked
	// accept.
	unblockInterval = 20 * time.Millisecond
	// maxUnblocks bounds the number of these connections. One may not be enough, as another process that
	// accepts from the same socket may take it.
	maxUnblocks = 25
)

// listen returns the listener for the clients' address, and whether it was inherited.
//
// If the platform holds the socket ($LB_FD), binding the address would fail with "address already in use".
// The old and the new process of an upgrade both accept from this socket and its single queue of
// connections. The listener duplicates the descriptor, and the inherited one is closed.
func listen(c *Config) (net.Listener, bool, error) {
	if c.ListenFD < 0 {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, false, fmt.Errorf("listen: %w", err)
		}
		return l, false, nil
	}
	f := os.NewFile(uintptr(c.ListenFD), "LB_FD")
	if f == nil {
		return nil, false, fmt.Errorf("LB_FD: descriptor %d is not open", c.ListenFD)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, false, fmt.Errorf("LB_FD: descriptor %d is not a listening socket: %w", c.ListenFD, err)
	}
	return l, true, nil
}

// closeSharedListener closes a listener whose socket is shared with other processes. If one of them has
// made the socket blocking, an accept in progress continues in the kernel and blocks the close. It would
// then accept a client's connection while this process exits. So this process makes connections of its own,
// which end the accept.
func closeSharedListener(l net.Listener) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		l.Close()
	}()
	for range maxUnblocks {
		select {
		case <-closed:
			return
		case <-time.After(unblockInterval):
		}
		if conn, err := net.DialTimeout("tcp", l.Addr().String(), unblockInterval); err == nil {
			conn.Close()
		}
	}
}
