package connlimit

import (
	"container/list"

	"capersail/internal/wire/splice"
)

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
