package fake

import (
	"net"
	"slices"
	"sync"
)

// acceptor accepts connections on a listener and serves each in its own goroutine, which ends with the
// connection.
type acceptor struct {
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn // all connections accepted so far, including closed ones
}

// start accepts and serves connections until reset.
func (a *acceptor) start(listener net.Listener, serve func(net.Conn)) {
	a.listener = listener
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns = append(a.conns, c)
			a.mu.Unlock()
			go serve(c)
		}
	}()
}

// connections returns all connections accepted so far.
func (a *acceptor) connections() []net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.conns)
}

// reset closes the listener and resets all connections, as the death of a process does. It may be called
// again.
func (a *acceptor) reset() {
	a.listener.Close()
	for _, c := range a.connections() {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}
