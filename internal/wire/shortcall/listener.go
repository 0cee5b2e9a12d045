// Package shortcall limits the connections of an address on which each connection carries one call, such as
// the admin address and the control sockets. Callers that connect and send no complete call, or that call
// over and over, delay other callers by no more than their turn in the queue.
package shortcall

import (
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// minCallTime is the time for which a connection that has sent no complete call is kept in any case. An
// ordinary caller sends its call at once.
const minCallTime = 25 * time.Millisecond

// Limits are the limits of a Listener.
type Limits struct {
	Connections      int // open at once
	AcceptsPerSecond int // also accepted at once after a quiet time, up to Connections
}

// Listener keeps at most a number of connections open. At the limit, the oldest connection that has not sent
// a complete call is closed for the next one, but not before minCallTime. Connections wait in the queue of
// the socket meanwhile.
type Listener struct {
	net.Listener
	limits Limits
	rate   *rate.Limiter

	mu       sync.Mutex
	awaiting []awaitedCall     // open connections without a complete call, oldest first
	serving  map[net.Conn]bool // open connections with a complete call
	released chan struct{}     // holds an element once a connection has been closed
	closed   chan struct{}     // closed by Close
	isClosed bool
}

// awaitedCall is a connection that has not sent a complete call.
type awaitedCall struct {
	conn       net.Conn
	acceptedAt time.Time
}

// NewListener returns a Listener that accepts from another one.
func NewListener(l net.Listener, limits Limits) *Listener {
	return &Listener{
		Listener: l,
		limits:   limits,
		rate:     rate.NewLimiter(rate.Limit(limits.AcceptsPerSecond), limits.Connections),
		serving:  map[net.Conn]bool{},
		released: make(chan struct{}, 1),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a connection, and then until it may be served.
func (l *Listener) Accept() (net.Conn, error) {
	l.pace()
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		wait, ok := l.admit(conn)
		if ok {
			return conn, nil
		}
		if !l.wait(wait) {
			conn.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close stops accepting connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	if !l.isClosed {
		l.isClosed = true
		close(l.closed)
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// pace waits until one more connection may be accepted.
func (l *Listener) pace() {
	now := time.Now()
	select {
	case <-l.closed:
	case <-time.After(l.rate.ReserveN(now, 1).DelayFrom(now)):
	}
}

// wait waits for a duration, or until a connection is closed. It returns false once the listener is closed.
func (l *Listener) wait(d time.Duration) bool {
	select {
	case <-l.closed:
		return false
	case <-l.released:
	case <-time.After(d):
	}
	return true
}

// admit counts a connection if there is room for it, or if a connection can be closed for it. Otherwise it
// returns how long to wait before the next try.
func (l *Listener) admit(conn net.Conn) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if len(l.awaiting)+len(l.serving) >= l.limits.Connections {
		if len(l.awaiting) == 0 {
			return minCallTime, false
		}
		oldest := l.awaiting[0]
		if age := now.Sub(oldest.acceptedAt); age < minCallTime {
			return minCallTime - age, false
		}
		l.awaiting = l.awaiting[1:]
		oldest.conn.Close()
	}
	l.awaiting = append(l.awaiting, awaitedCall{conn, now})
	return 0, true
}

// CallArrived reports that a connection has sent its complete call. From then on it is not closed for another
// one.
func (l *Listener) CallArrived(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopAwaiting(conn) {
		l.serving[conn] = true
	}
}

// Closed reports that a connection has been closed by its user.
func (l *Listener) Closed(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopAwaiting(conn)
	delete(l.serving, conn)
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// Open returns how many connections are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.awaiting) + len(l.serving)
}

// stopAwaiting removes a connection from those without a complete call, and reports whether it was one. The
// caller holds the lock.
func (l *Listener) stopAwaiting(conn net.Conn) bool {
	i := slices.IndexFunc(l.awaiting, func(c awaitedCall) bool { return c.conn == conn })
	if i < 0 {
		return false
	}
	l.awaiting = slices.Delete(l.awaiting, i, i+1)
	return true
}
