package lifecycle

import (
	"fmt"
	"net"
	"os"
	"time"
)

const (
	// unblockInterval is the time between two connections that are to end a blocked accept.
	unblockInterval = 20 * time.Millisecond
	// maxUnblocks bounds them, as another process may take each.
	maxUnblocks = 25
)

// listen returns the listener for the clients' address, and whether it was inherited.
//
// Where the platform holds the socket ($LB_FD), binding the address again would fail with "address already in
// use": every process of the relay, the old and the new one of an upgrade, serves on the same socket and its
// one queue of connections. The listener takes a copy of the descriptor, and the one handed over is closed.
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
		return nil, false, fmt.Errorf("LB_FD: descriptor %d is no listening socket: %w", c.ListenFD, err)
	}
	return l, true, nil
}

// closeSharedListener closes a listener whose socket other processes hold too. Where one of them has made
// the socket blocking, an accept in progress goes on in the kernel, holds the close, and would take a
// client's connection while this process exits. It is given one of this process's own instead.
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
