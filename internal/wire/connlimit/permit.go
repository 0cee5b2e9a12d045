package connlimit

import (
	"container/list"
	"time"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// Permit is one client's connection, as its Limiter counts it. The goroutine that serves the connection calls
// its methods.
type Permit struct {
	Conn *splice.Conn
	// RequestDeadline is the instant of the limiter's clock by which the client must have brought its request.
	RequestDeadline time.Duration

	// The limiter's lock guards what follows.
	limiter        *Limiter
	idleElement    *list.Element // among the limiter's idlePermits
	clientCounted  bool          // the client's descriptor is counted
	requestCounted bool          // and counts as a request's
	evicted        bool          // the connection is to close
	serverCounted  bool          // the descriptor of its connection to a server is counted
}

// AcquireRequest takes the second descriptor that a request needs; false if requests hold all they may. From
// then on the connection is not evicted, even if it was to be.
func (p *Permit) AcquireRequest() bool {
	l := p.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requestDescriptors+requestCost > l.requestLimit() {
		return false
	}
	l.descriptorsHeld++
	l.requestDescriptors += requestCost
	p.requestCounted = true
	p.serverCounted = true
	l.idlePermits.Remove(p.idleElement)
	p.cancelEviction()
	for l.descriptorsHeld-l.evicting > l.descriptorLimit && l.idlePermits.Len() > 0 {
		l.evictOldestIdle()
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

// release takes everything out of the count that is still in it.
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

// releaseClient takes the client's own descriptor out of the count. The caller holds the lock.
func (p *Permit) releaseClient() {
	p.returnToIdle()
	if !p.clientCounted {
		return
	}
	p.clientCounted = false
	p.limiter.descriptorsHeld--
	p.cancelEviction()
	p.limiter.idlePermits.Remove(p.idleElement)
}

// cancelEviction takes the connection out of those that are evicted. The caller holds the lock.
func (p *Permit) cancelEviction() {
	if !p.evicted {
		return
	}
	p.evicted = false
	p.limiter.evicting--
	p.limiter.evictionDone.Signal()
}

// returnToIdle puts a request's connection among the idle. The caller holds the lock.
func (p *Permit) returnToIdle() {
	if !p.requestCounted {
		return
	}
	p.requestCounted = false
	p.limiter.requestDescriptors--
	p.idleElement = p.limiter.idlePermits.PushBack(p)
}

// CloseAndRelease closes the client's connection cleanly and gives its descriptors back. It waits until the
// request's connection to a server is closed too; nil is for a client that brought no request.
func (p *Permit) CloseAndRelease(request *relay.Request) {
	p.ReleaseRequest()
	p.Conn.CloseAndDiscard()
	p.ReleaseClient()
	if request != nil {
		<-request.BothSidesDone()
	}
}
