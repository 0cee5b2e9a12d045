package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// arrivalsFactor is a multiple of the connection limit. A longer queue of arrivals is purged of connections
// that are closed or have sent a complete call.
const arrivalsFactor = 4

// boundedListener keeps at most limit connections open. A new connection over the limit closes the oldest one
// that has not sent a complete call.
type boundedListener struct {
	net.Listener
	limit int

	mu           sync.Mutex
	awaitingCall map[net.Conn]bool // open connections; true until a complete call has arrived
	arrivals     []net.Conn        // oldest first; may include connections closed or no longer awaited
}

// trackState records the state that the HTTP server reports for a connection.
func (b *boundedListener) trackState(c net.Conn, st http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch st {
	case http.StateActive:
		if _, ok := b.awaitingCall[c]; ok {
			b.awaitingCall[c] = false
		}
	case http.StateClosed, http.StateHijacked:
		delete(b.awaitingCall, c)
	}
}

// Accept waits for a connection. At the limit it first closes one that has not sent a complete call.
func (b *boundedListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictAwaitingCall()
	b.awaitingCall[c] = true
	b.arrivals = append(b.arrivals, c)
	if len(b.arrivals) > arrivalsFactor*b.limit {
		b.arrivals = slices.DeleteFunc(b.arrivals, func(o net.Conn) bool { return !b.awaitingCall[o] })
	}
	return c, nil
}

// evictAwaitingCall closes the oldest connections without a complete call until one more may be opened. The
// caller holds the lock.
func (b *boundedListener) evictAwaitingCall() {
	for len(b.awaitingCall) >= b.limit && len(b.arrivals) > 0 {
		oldest := b.arrivals[0]
		b.arrivals = b.arrivals[1:]
		if b.awaitingCall[oldest] {
			delete(b.awaitingCall, oldest)
			oldest.Close()
		}
	}
}
