// Package connlimit bounds what clients may take of this relay: descriptors, time without a request, kernel
// buffers and log lines. Both fronts take their connections from it. It never closes a connection itself:
// only the goroutine that reads one can tell whether its last line has come.
package connlimit

import (
	"container/list"
	"errors"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

const (
	// RetryAfter is when a client comes again whose request the limit has rejected.
	RetryAfter = 500 * time.Millisecond
	// RequestTimeout is how long after its acceptance a connection without a request is closed. What the
	// client sends meanwhile does not renew it: one that says nothing useful is owed a close within 3 s.
	RequestTimeout = 2 * time.Second
	// socketBufferBytes bounds the kernel's buffer of a client's connection, each way. Left to itself it
	// grows to megabytes for a client that sends without end, hundreds of times over.
	socketBufferBytes = 32 << 10
	// idleReserveFraction of the descriptors is kept for connections without a request and for those that are
	// being rejected. They evict one another, the oldest first.
	idleReserveFraction = 1.0 / 8
	minIdleReserve      = 8
	// MaxEvicting bounds the evicted connections that have not closed yet; beyond it nothing is
	// accepted. Each takes no longer than its goroutine takes to look once at what has come.
	MaxEvicting = 8
	// logLinesPerSecond bounds the log lines that clients' faults may cause.
	logLinesPerSecond = 5
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 5 * time.Millisecond
	// requestCost is how many descriptors a request holds: the client's and its server's.
	requestCost = 2
)

// Limiter counts the descriptors that clients hold, with those of their connections to servers. Invariants,
// under mu: descriptorsHeld - evicting never exceeds descriptorLimit by more than the connection just
// accepted, and requestDescriptors leaves the idle reserve free. Its methods may be called by several
// goroutines.
type Limiter struct {
	Clock *relay.Clock
	// Log is for clients' faults. It is sampled, as a client must not write the log at full speed.
	Log zerolog.Logger

	mu                 sync.Mutex
	descriptorLimit    int
	descriptorsHeld    int
	requestDescriptors int       // of those held, the ones of requests
	idlePermits        list.List // of *Permit without a request, or with their answer; the oldest first
	evicting           int       // of those held, the ones of evicted connections
	evictionDone       sync.Cond // signalled as evicting falls
	draining           bool      // connections that bring no request now are closed
}

// New returns a limiter for descriptorLimit descriptors.
func New(clock *relay.Clock, descriptorLimit int, log zerolog.Logger) *Limiter {
	sampled := log.Sample(&zerolog.BurstSampler{Burst: logLinesPerSecond, Period: time.Second})
	l := &Limiter{Clock: clock, Log: sampled}
	l.evictionDone.L = &l.mu
	l.SetDescriptorLimit(descriptorLimit)
	return l
}

// SetDescriptorLimit changes how many descriptors there are. Requests beyond the new limit stay.
func (l *Limiter) SetDescriptorLimit(descriptorLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.descriptorLimit = descriptorLimit
}

// Serve accepts until the listener is closed, which is no error, and gives each connection to serve in a
// goroutine of its own. The permit is released when serve returns.
func (l *Limiter) Serve(listener net.Listener, serve func(*Permit)) error {
	for {
		l.awaitEvictions()
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
		permit := l.admitConnection(conn)
		go func() {
			defer permit.release()
			serve(permit)
		}()
		// The goroutine reads what has come before the next connection can evict this one.
		runtime.Gosched()
	}
}

func (l *Limiter) awaitEvictions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.evicting >= MaxEvicting {
		l.evictionDone.Wait()
	}
}

// recoverFromAccept has one idle connection give its descriptor up: none is left, whatever the count says.
func (l *Limiter) recoverFromAccept(err error) {
	l.Log.Warn().Err(err).
		Msg("accept failed, the oldest idle connection is evicted: compare limits.sockets with ulimit -n")
	l.mu.Lock()
	l.evictOldestIdle()
	l.mu.Unlock()
	time.Sleep(acceptRetryDelay)
}

func (l *Limiter) admitConnection(conn net.Conn) *Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.descriptorsHeld-l.evicting >= l.descriptorLimit {
		l.evictOldestIdle()
	}
	permit := &Permit{
		Conn:            &splice.Conn{NetConn: conn, Clock: l.Clock},
		RequestDeadline: l.Clock.Now() + RequestTimeout,
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

// evictOldestIdle tells the oldest idle connection to close, if there is one. Its own goroutine closes it:
// closed from here, over a line that nobody had read, the client would get a reset. The caller holds the
// lock.
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

// requestLimit is how many descriptors requests may hold. The caller holds the lock.
func (l *Limiter) requestLimit() int {
	reserve := max(minIdleReserve, int(float64(l.descriptorLimit)*idleReserveFraction))
	return l.descriptorLimit - reserve
}

// Drain closes every connection that has no request, now and from now on; one that brings a request first is
// served. It is for a relay that shuts down.
func (l *Limiter) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for e := l.idlePermits.Front(); e != nil; e = e.Next() {
		e.Value.(*Permit).Conn.Wake()
	}
}

// DescriptorsHeld is how many descriptors clients and their connections to servers hold.
func (l *Limiter) DescriptorsHeld() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.descriptorsHeld
}
