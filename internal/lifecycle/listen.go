package lifecycle

import (
	"fmt"
	"net"
	"os"
)

// listen returns the listener for the clients' address, and whether it was inherited.
//
// Where the platform holds the socket ($LB_FD), binding the address again would fail with "address already in
// use": every process of the relay, the old and the new one of an upgrade, serves on the same socket and its
// one queue of connections. The listener takes a copy of the descriptor, and the one handed over is closed.
func listen(c *Config) (net.Listener, bool, error) {
	if c.FD < 0 {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, false, fmt.Errorf("listen: %w", err)
		}
		return l, false, nil
	}
	f := os.NewFile(uintptr(c.FD), "LB_FD")
	if f == nil {
		return nil, false, fmt.Errorf("LB_FD: descriptor %d is not open", c.FD)
	}
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, false, fmt.Errorf("LB_FD: descriptor %d is no listening socket: %w", c.FD, err)
	}
	return l, true, nil
}
