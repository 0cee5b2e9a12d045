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
	// socketBuffer bounds what the kernel holds of a client's bytes, each way. Left to itself it grows to
	// megabytes for a client that sends without end, hundreds of times over.
	socketBuffer = 32 << 10
	// sparePart of the descriptors is never given to requests: connections that have not asked yet, or that
	// are being told no, come and go there. They push one another out, the oldest first.
	sparePart  = 1.0 / 8
	leastSpare = 8
	// MostEvicted bounds the idle connections that have been told to make room and have not yet; beyond it nothing is
	// accepted. Each takes no longer than its goroutine takes to look once at what has come.
	MostEvicted = 8
	// complaints is how many log lines a second clients' faults may cause.
	complaints = 5
)

// Gate counts the descriptors that clients hold, with those of their connections to servers.
type Gate struct {
	Clock *relay.Clock
	// Log is for clients' faults; it is thinned out, as a client must not write the log at full speed.
	Log zerolog.Logger

	mu      sync.Mutex
	room    int
	held    int
	placed  int       // of those held, the ones of requests
	idle    list.List // of *Pass without a request, or with their answer; the oldest first
	evicted int       // of those held, the ones that make room
	freed   sync.Cond // one of them has
	ending  bool      // whoever brings no request now is sent away
}

// New returns a gate for so many descriptors.
func New(clock *relay.Clock, room int, log zerolog.Logger) *Gate {
	g := &Gate{Clock: clock, Log: log.Sample(&zerolog.BurstSampler{Burst: complaints, Period: time.Second})}
	g.freed.L = &g.mu
	g.SetRoom(room)
	return g
}

// SetRoom changes how many descriptors there are. Requests that stand beyond it stay.
func (g *Gate) SetRoom(room int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room = room
}

// Pass is one client's connection, as the gate counts it.
type Pass struct {
	End   *splice.End
	Until float64 // when it must have brought its request

	g       *Gate
	place   *list.Element // among the idle
	client  bool          // its own descriptor is counted
	asked   bool          // and counts as a request's
	evicted bool          // and is wanted
	server  bool          // that of its connection to a server is counted
}

// Serve accepts until the listener is closed, and gives each connection to serve in a goroutine of its own.
func (g *Gate) Serve(l net.Listener, serve func(*Pass)) error {
	for {
		g.mu.Lock()
		for g.evicted >= MostEvicted {
			g.freed.Wait()
		}
		g.mu.Unlock()
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // no descriptor is left all the same: one of the idle gives its own up
			g.Log.Warn().Err(err).Msg("accept failed")
			g.mu.Lock()
			g.evict()
			g.mu.Unlock()
			time.Sleep(relay.Duration(5))
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetReadBuffer(socketBuffer)
			tcp.SetWriteBuffer(socketBuffer)
		}
		p := g.enter(conn)
		go func() {
			defer p.leave()
			serve(p)
		}()
		// The goroutine reads what has come before the next connection can push this one out.
		runtime.Gosched()
	}
}

func (g *Gate) enter(conn net.Conn) *Pass {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held-g.evicted >= g.room {
		g.evict()
	}
	p := &Pass{End: &splice.End{Conn: conn, Clock: g.Clock}, Until: g.Clock.Now() + RequestWithin, g: g, client: true}
	p.place = g.idle.PushBack(p)
	if g.held++; g.ending {
		p.End.Wake()
	}
	return p
}

// evict has the oldest idle connection closed, if there is one. Its own goroutine does it, as it alone can tell whether the
// last line has come meanwhile: closed from here, over a line that nobody had read, the client would have a reset for an
// answer. The caller holds the lock.
func (g *Gate) evict() {
	if e := g.idle.Front(); e != nil {
		p := e.Value.(*Pass)
		g.idle.Remove(e)
		p.evicted = true
		g.evicted++
		p.End.Hurry()
	}
}

// End sends everyone away who has brought no request; who brings one now is served as ever. For a relay that leaves, and has
// no more to do than this.
func (g *Gate) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ending = true
	for e := g.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*Pass).End.Wake()
	}
}

// Held is how many descriptors clients hold, and their connections to servers.
func (g *Gate) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// closed takes the client's own descriptor out of the count. The caller holds the lock.
func (p *Pass) closed() {
	p.rest()
	if p.client {
		p.client = false
		p.g.held--
		p.stay()
		p.g.idle.Remove(p.place)
	}
}

// stay takes back that the connection was to make room. The caller holds the lock.
func (p *Pass) stay() {
	if p.evicted {
		p.evicted = false
		p.g.evicted--
		p.g.freed.Signal()
	}
}

// rest puts a request's connection among the idle. The caller holds the lock.
func (p *Pass) rest() {
	if p.asked {
		p.asked = false
		p.g.placed--
		p.place = p.g.idle.PushBack(p)
	}
}

// Ask takes the second descriptor that a request needs; false if requests have all they may. From then on
// the connection is not pushed out, nor if it was to make room.
func (p *Pass) Ask() bool {
	g := p.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.placed+2 > g.room-max(leastSpare, int(float64(g.room)*sparePart)) {
		return false
	}
	g.held++
	g.placed += 2
	p.asked, p.server = true, true
	g.idle.Remove(p.place)
	p.stay()
	for g.held-g.evicted > g.room && g.idle.Len() > 0 {
		g.evict()
	}
	return true
}

// Ending says that the client has its answer, or its end: only the close is still to come.
func (p *Pass) Ending() {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.rest()
}

// Closed says that the client's connection is closed; that to its server may last a little longer.
func (p *Pass) Closed() {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.closed()
}

func (p *Pass) leave() {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.closed()
	if p.server {
		p.server = false
		p.g.held--
		p.g.placed--
	}
}
