package connlimit

import (
	"errors"
	"sync"
)

// freeBufferBytes is what each connection may make the relay hold without a reservation.
const freeBufferBytes = 16 << 10

// ErrNoBuffer is returned if the relay's memory for what clients have sent is used up.
var ErrNoBuffer = errors.New("no memory is left for what clients have sent")

// bufferPool bounds the bytes that the relay holds for all its clients together, beyond freeBufferBytes for
// each. A bound for each connection alone is multiplied by their number.
type bufferPool struct {
	mu       sync.Mutex
	capacity int
	reserved int
}

// reserve reserves bytes, or gives them back if n is negative. It reports whether they were available.
func (p *bufferPool) reserve(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 && p.reserved+n > p.capacity {
		return false
	}
	p.reserved += n
	return true
}

// BufferAccount counts the bytes that one client has sent and that the relay still holds. Its methods may be
// called concurrently.
type BufferAccount struct {
	pool *bufferPool

	mu       sync.Mutex
	held     int
	reserved int // bytes of held that are reserved in the pool
	closed   bool
}

// Add changes the number of bytes held. The error is ErrNoBuffer if they grow and no memory is left; then
// nothing has changed.
func (a *BufferAccount) Add(bytes int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	needed := max(0, a.held+bytes-freeBufferBytes)
	if !a.pool.reserve(needed - a.reserved) {
		return ErrNoBuffer
	}
	a.held += bytes
	a.reserved = needed
	return nil
}

// close gives all bytes back. Later calls of Add have no effect.
func (a *BufferAccount) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pool.reserve(-a.reserved)
	a.held, a.reserved, a.closed = 0, 0, true
}
