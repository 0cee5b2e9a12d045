package fake

import (
	"net"
	"slices"
	"sync"
)

// acceptor takes connections on a listener, each served in a goroutine of its own that ends with the
// connection.
type acceptor struct {
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn // all that have come
}

// start serves connections until reset.
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

// all returns the connections that have come so far.
func (a *acceptor) connections() []net.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.conns)
}

// reset ends it as a process that dies does: connections are reset, new ones refused. It may be called again.
func (a *acceptor) reset() {
	a.listener.Close()
	for _, c := range a.connections() {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}
