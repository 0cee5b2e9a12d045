package admin

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// arrivalsFactor times the limit is how long the queue of arrivals grows before those that are closed or have
// called leave it.
const arrivalsFactor = 4

// boundedListener holds at most limit connections. When a new one would be one too many, the oldest that has
// not yet sent a complete call is closed.
type boundedListener struct {
	net.Listener
	limit int

	mu       sync.Mutex
	silent   map[net.Conn]bool // the open connections; true while no complete call has come
	arrivals []net.Conn        // oldest first; those closed or no longer silent are skipped
}

// trackState follows each connection through the HTTP server.
func (b *boundedListener) trackState(c net.Conn, st http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch st {
	case http.StateActive:
		if _, ok := b.silent[c]; ok {
			b.silent[c] = false
		}
	case http.StateClosed, http.StateHijacked:
		delete(b.silent, c)
	}
}

// Accept waits for a connection, and evicts a silent one where it would be one too many.
func (b *boundedListener) Accept() (net.Conn, error) {
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evictSilent()
	b.silent[c] = true
	b.arrivals = append(b.arrivals, c)
	if len(b.arrivals) > arrivalsFactor*b.limit {
		b.arrivals = slices.DeleteFunc(b.arrivals, func(o net.Conn) bool { return !b.silent[o] })
	}
	return c, nil
}

// evictSilent closes the oldest silent connections until one more has a place. The caller holds the lock.
func (b *boundedListener) evictSilent() {
	for len(b.silent) >= b.limit && len(b.arrivals) > 0 {
		oldest := b.arrivals[0]
		b.arrivals = b.arrivals[1:]
		if b.silent[oldest] {
			delete(b.silent, oldest)
			oldest.Close()
		}
	}
}
