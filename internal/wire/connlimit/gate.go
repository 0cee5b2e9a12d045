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

// Permit is one client's connection, as the gate counts it.
type Permit struct {
	Half         *splice.Half
	RequestUntil float64 // when it must have brought its request

	limiter        *Limiter
	idleElement    *list.Element // among the idle
	clientCounted  bool          // its own descriptor is counted
	requestCounted bool          // and counts as a request's
	evicted        bool          // and is wanted
	serverCounted  bool          // that of its connection to a server is counted
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

// releaseClient takes the client's own descriptor out of the count. The caller holds the lock.
func (p *Permit) releaseClient() {
	p.returnToIdle()
	if p.clientCounted {
		p.clientCounted = false
		p.limiter.descriptorsHeld--
		p.cancelEviction()
		p.limiter.idlePermits.Remove(p.idleElement)
	}
}

// cancelEviction takes back that the connection was to make room. The caller holds the lock.
func (p *Permit) cancelEviction() {
	if p.evicted {
		p.evicted = false
		p.limiter.evicting--
		p.limiter.evictionDone.Signal()
	}
}

// returnToIdle puts a request's connection among the idle. The caller holds the lock.
func (p *Permit) returnToIdle() {
	if p.requestCounted {
		p.requestCounted = false
		p.limiter.requestDescriptors--
		p.idleElement = p.limiter.idlePermits.PushBack(p)
	}
}

// AcquireRequest takes the second descriptor that a request needs; false if requests have all they may. From then on
// the connection is not pushed out, nor if it was to make room.
func (p *Permit) AcquireRequest() bool {
	g := p.limiter
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.requestDescriptors+2 > g.descriptorLimit-max(minIdleReserve, int(float64(g.descriptorLimit)*idleReserveFraction)) {
		return false
	}
	g.descriptorsHeld++
	g.requestDescriptors += 2
	p.requestCounted, p.serverCounted = true, true
	g.idlePermits.Remove(p.idleElement)
	p.cancelEviction()
	for g.descriptorsHeld-g.evicting > g.descriptorLimit && g.idlePermits.Len() > 0 {
		g.evictOldestIdle()
	}
	return true
}

// ReleaseRequest says that the client has its answer, or its end: only the close is still to come.
func (p *Permit) ReleaseRequest() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.returnToIdle()
}

// ReleaseClient says that the client's connection is closed; that to its server may last a little longer.
func (p *Permit) ReleaseClient() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.releaseClient()
}

func (p *Permit) release() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.releaseClient()
	if p.serverCounted {
		p.serverCounted = false
		p.limiter.descriptorsHeld--
		p.limiter.requestDescriptors--
	}
}
