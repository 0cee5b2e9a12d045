package lifecycle

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
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

// listenOrTakeOver returns a listener for an address. In an upgrade the address may be in use by the process
// that this one replaces; the listener then accepts connections from the moment at which that process has
// closed its own.
func listenOrTakeOver(address string, upgrade bool) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if !upgrade || !errors.Is(err, syscall.EADDRINUSE) {
		return l, err
	}
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return &pendingListener{address: resolved, closed: make(chan struct{})}, nil
}

// pendingListener is a listener whose address is bound by the first Accept, which waits until the address is
// free.
type pendingListener struct {
	address net.Addr
	closed  chan struct{} // closed by Close

	mu       sync.Mutex
	isClosed bool
	bound    net.Listener // nil until the address is bound
}

// Accept waits for a connection, and before that for the address.
func (p *pendingListener) Accept() (net.Conn, error) {
	for {
		l, err := p.bind()
		if err == nil {
			return l.Accept()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
		select {
		case <-p.closed:
		case <-time.After(takeoverInterval):
		}
	}
}

// bind returns the listener, which it creates first if the address is free.
func (p *pendingListener) bind() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bound != nil {
		return p.bound, nil
	}
	if p.isClosed {
		return nil, net.ErrClosed
	}
	l, err := net.Listen("tcp", p.address.String())
	p.bound = l
	return l, err
}

// Close stops listening, and waiting for the address.
func (p *pendingListener) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isClosed {
		p.isClosed = true
		close(p.closed)
	}
	if p.bound == nil {
		return nil
	}
	return p.bound.Close()
}

// Addr returns the address, bound or not.
func (p *pendingListener) Addr() net.Addr { return p.address }

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
