// Package connlimit limits the resources that clients may use on this relay: descriptors, time without a
// request, memory for what they have sent, processor time for it, kernel buffers and log lines. Both front
// ends accept their connections through it. It never closes a connection itself: only the goroutine that
// reads a connection can tell whether its last line has been received.
package connlimit

import (
	"container/list"
	"errors"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

const (
	// RetryAfter is the time after which a client should retry a request that the limit has rejected.
	RetryAfter = 500 * time.Millisecond
	// RequestTimeout is how long after its acceptance a connection without a request is closed. Data that the
	// client sends meanwhile does not extend it: the protocol promises a client without a valid request a
	// close within 3 s.
	RequestTimeout = 2 * time.Second
	// socketBufferBytes is the size of the kernel's buffers of a client's connection, for each direction.
	// Without it the kernel lets the buffer of a client that sends continuously grow to megabytes, and there
	// may be hundreds of such clients.
	socketBufferBytes = 32 << 10
	// idleReserveFraction of the descriptors is reserved for connections without a request and for those that
	// are being rejected. When it is used up, the oldest of them is evicted for the next one.
	idleReserveFraction = 1.0 / 8
	minIdleReserve      = 8
	// MaxEvicting bounds the evicted connections that have not closed yet. At the bound no connection is
	// accepted. An evicted connection closes as soon as its goroutine has checked the received data once.
	MaxEvicting = 8
	// defaultBufferBytes is the limit on the memory for what clients have sent, if no other is set.
	defaultBufferBytes = 64 << 20
	// logLinesPerSecond bounds the log lines that faulty clients can cause.
	logLinesPerSecond = 5
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// requestCost is how many descriptors a request holds: one for the client, one for the server.
	requestCost = 2
)

// Limiter counts the descriptors of clients' connections and of their requests' connections to servers.
// Invariants, under mu: descriptorsHeld - evicting exceeds descriptorLimit at most by the connection just
// accepted, and requestDescriptors leaves the idle reserve free. Its methods may be called concurrently.
type Limiter struct {
	Clock *relay.Clock
	// Log receives messages about faulty clients. It is sampled, so that clients cannot flood the log.
	Log zerolog.Logger

	buffers    bufferPool
	sharedRate *rate.Limiter // for input beyond the rate that each client has for itself
	acceptRate *rate.Limiter

	mu                 sync.Mutex
	descriptorLimit    int
	descriptorsHeld    int
	requestDescriptors int       // those of descriptorsHeld that requests hold
	idlePermits        list.List // of *Permit: before the request or after its end, oldest first
	evicting           int       // those of descriptorsHeld that evicted connections hold
	evictionDone       sync.Cond // signalled when evicting decreases
	draining           bool      // connections without a request are closed
}

// New returns a Limiter that allows descriptorLimit descriptors and defaultBufferBytes of memory.
func New(clock *relay.Clock, descriptorLimit int, log zerolog.Logger) *Limiter {
	sampled := log.Sample(&zerolog.BurstSampler{Burst: logLinesPerSecond, Period: time.Second})
	l := &Limiter{
		Clock:      clock,
		Log:        sampled,
		sharedRate: rate.NewLimiter(sharedUnitsPerSecond, sharedUnitsBurst),
		acceptRate: rate.NewLimiter(acceptsPerSecond, acceptBurst),
	}
	l.evictionDone.L = &l.mu
	l.SetBufferLimit(defaultBufferBytes)
	l.SetDescriptorLimit(descriptorLimit)
	return l
}

// SetDescriptorLimit changes the number of descriptors allowed. Requests beyond the new limit are not ended.
func (l *Limiter) SetDescriptorLimit(descriptorLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.descriptorLimit = descriptorLimit
}

// newBufferAccount returns an account of the memory for what one client has sent.
func (l *Limiter) newBufferAccount() *BufferAccount { return &BufferAccount{pool: &l.buffers} }

// SetBufferLimit changes the number of bytes that the relay may hold for its clients.
func (l *Limiter) SetBufferLimit(bytes int) {
	l.buffers.mu.Lock()
	defer l.buffers.mu.Unlock()
	l.buffers.capacity = bytes
}

// Serve accepts connections until the listener is closed, and then returns nil. It calls serve for each
// connection in a new goroutine, and releases the permit when serve returns.
func (l *Limiter) Serve(listener net.Listener, serve func(*Permit)) error {
	for {
		l.awaitEvictions()
		l.paceAccept()
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.recoverFromAccept(err)
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetReadBuffer(socketBufferBytes)
			tcp.SetWriteBuffer(socketBufferBytes)
		}
		permit := l.Admit(conn)
		go func() {
			defer permit.release()
			serve(permit)
		}()
		// Let the goroutine read the data already received before the next connection can evict this one.
		runtime.Gosched()
	}
}

// awaitEvictions blocks while MaxEvicting evicted connections have not closed.
func (l *Limiter) awaitEvictions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.evicting >= MaxEvicting {
		l.evictionDone.Wait()
	}
}

// recoverFromAccept evicts the oldest idle connection after a failed accept and pauses for acceptRetryDelay.
// The process is out of descriptors, whatever the limiter has counted.
func (l *Limiter) recoverFromAccept(err error) {
	l.Log.Warn().Err(err).
		Msg("accept failed, evicting the oldest idle connection: compare limits.sockets with ulimit -n")
	l.mu.Lock()
	l.evictOldestIdle()
	l.mu.Unlock()
	time.Sleep(acceptRetryDelay)
}

// Admit counts a new connection and returns its permit, which Serve does for those that it accepts. At the
// limit it evicts the oldest idle one.
func (l *Limiter) Admit(conn net.Conn) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.descriptorsHeld-l.evicting >= l.descriptorLimit {
		l.evictOldestIdle()
	}
	permit := &Permit{
		Conn:            &splice.Conn{NetConn: conn, Clock: l.Clock},
		RequestDeadline: l.Clock.Now() + RequestTimeout,
		Buffers:         l.newBufferAccount(),
		ownRate:         newOwnRate(),
		limiter:         l,
		clientCounted:   true,
	}
	permit.idleElement = l.idlePermits.PushBack(permit)
	l.descriptorsHeld++
	if l.draining {
		permit.Conn.Wake()
	}
	return permit
}

// evictOldestIdle makes the goroutine of the oldest idle connection, if there is one, close it. If it were
// closed here with a received line unread, the client would get a reset. The caller must hold mu.
func (l *Limiter) evictOldestIdle() {
	oldest := l.idlePermits.Front()
	if oldest == nil {
		return
	}
	permit := oldest.Value.(*Permit)
	l.idlePermits.Remove(oldest)
	permit.evicted = true
	l.evicting++
	permit.Conn.CloseNow()
}

// requestLimit returns how many descriptors requests may hold. The caller must hold mu.
func (l *Limiter) requestLimit() int {
	reserve := max(minIdleReserve, int(float64(l.descriptorLimit)*idleReserveFraction))
	return l.descriptorLimit - reserve
}

// Drain wakes every connection without a request, present and future, so that it is closed unless it has sent
// a request by then, which is served. It is called when the relay shuts down.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for e := l.idlePermits.Front(); e != nil; e = e.Next() {
		e.Value.(*Permit).Conn.Wake()
	}
}

// DescriptorsHeld returns how many descriptors clients' connections and their connections to servers hold.
func (l *Limiter) DescriptorsHeld() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.descriptorsHeld
}
