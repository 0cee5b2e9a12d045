// Package connlimit guards the client side against clients that take more than their part of descriptors,
// memory and processor time. Every limit on clients that both fronts keep is here.
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
	// RequestWithin is how long after its acceptance a connection without a request is closed; what it sends
	// meanwhile does not renew it. A client that says nothing useful is owed a close within 3 s.
	RequestWithin = 2000.0
	// socketBufferBytes bounds what the kernel holds of a client's bytes, each way. Left to itself it grows to
	// megabytes for a client that sends without end, hundreds of times over.
	socketBufferBytes = 32 << 10
	// idleReserveFraction of the descriptors is never given to requests: connections that have not asked yet, or that
	// are being told no, come and go there. They push one another out, the oldest first.
	idleReserveFraction = 1.0 / 8
	minIdleReserve      = 8
	// MaxEvicting bounds the idle connections that have been told to make room and have not yet; beyond it nothing is
	// accepted. Each takes no longer than its goroutine takes to look once at what has come.
	MaxEvicting = 8
	// logLinesPerSecond is how many log lines a second clients' faults may cause.
	logLinesPerSecond = 5
)

// Limiter counts the descriptors that clients hold, with those of their connections to servers.
type Limiter struct {
	Clock *relay.Clock
	// Log is for clients' faults; it is thinned out, as a client must not write the log at full speed.
	Log zerolog.Logger

	mu                 sync.Mutex
	descriptorLimit    int
	descriptorsHeld    int
	requestDescriptors int       // of those held, the ones of requests
	idlePermits        list.List // of *Pass without a request, or with their answer; the oldest first
	evicting           int       // of those held, the ones that make room
	evictionDone       sync.Cond // one of them has
	draining           bool      // whoever brings no request now is sent away
}

// New returns a gate for so many descriptors.
func New(clock *relay.Clock, room int, log zerolog.Logger) *Limiter {
	g := &Limiter{Clock: clock, Log: log.Sample(&zerolog.BurstSampler{Burst: logLinesPerSecond, Period: time.Second})}
	g.evictionDone.L = &g.mu
	g.SetDescriptorLimit(room)
	return g
}

// SetDescriptorLimit changes how many descriptors there are. Requests that stand beyond it stay.
func (g *Limiter) SetDescriptorLimit(room int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.descriptorLimit = room
}

// Serve accepts until the listener is closed, and gives each connection to serve in a goroutine of its own.
func (g *Limiter) Serve(l net.Listener, serve func(*Permit)) error {
	for {
		g.mu.Lock()
		for g.evicting >= MaxEvicting {
			g.evictionDone.Wait()
		}
		g.mu.Unlock()
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is left all the same: one of the idle gives its own up
			g.Log.Warn().Err(err).Msg("accept failed")
			g.mu.Lock()
			g.evictOldestIdle()
			g.mu.Unlock()
			time.Sleep(relay.Duration(5))
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetReadBuffer(socketBufferBytes)
			tcp.SetWriteBuffer(socketBufferBytes)
		}
		p := g.admitConnection(conn)
		go func() {
			defer p.release()
			serve(p)
		}()
		// The goroutine reads what has come before the next connection can push this one out.
		runtime.Gosched()
	}
}

func (g *Limiter) admitConnection(conn net.Conn) *Permit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.descriptorsHeld-g.evicting >= g.descriptorLimit {
		g.evictOldestIdle()
	}
	p := &Permit{Half: &splice.Half{Conn: conn, Clock: g.Clock}, RequestUntil: g.Clock.NowMillis() + RequestWithin, limiter: g, clientCounted: true}
	p.idleElement = g.idlePermits.PushBack(p)
	if g.descriptorsHeld++; g.draining {
		p.Half.Wake()
	}
	return p
}

// evictOldestIdle has the oldest idle connection closed, if there is one. Its own goroutine does it, as it alone can tell whether the
// last line has come meanwhile: closed from here, over a line that nobody had read, the client would have a reset for an
// answer. The caller holds the lock.
func (g *Limiter) evictOldestIdle() {
	if e := g.idlePermits.Front(); e != nil {
		p := e.Value.(*Permit)
		g.idlePermits.Remove(e)
		p.evicted = true
		g.evicting++
		p.Half.CloseNow()
	}
}

// Drain sends everyone away who has brought no request; who brings one now is served as ever. For a relay that leaves, and has
// no more to do than this.
func (g *Limiter) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for e := g.idlePermits.Front(); e != nil; e = e.Next() {
		e.Value.(*Permit).Half.Wake()
	}
}

// DescriptorsHeld is how many descriptors clients hold, and their connections to servers.
func (g *Limiter) DescriptorsHeld() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.descriptorsHeld
}
