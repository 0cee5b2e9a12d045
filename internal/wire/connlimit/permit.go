package connlimit

import (
	"container/list"
	"time"

	"golang.org/x/time/rate"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// Permit is a client's connection together with the descriptors that its Limiter counts for it. Only the
// goroutine that serves the connection calls its methods.
type Permit struct {
	Conn *splice.Conn
	// RequestDeadline is the instant of the limiter's clock by which the client must have sent its request.
	RequestDeadline time.Duration
	// Buffers counts what the client has sent and the relay holds. It is closed with the permit.
	Buffers *BufferAccount

	ownRate *rate.Limiter // of input
	// The fields below are guarded by the limiter's mu.
	limiter        *Limiter
	idleElement    *list.Element // element of the limiter's idlePermits
	clientCounted  bool          // the client's descriptor is counted
	requestCounted bool          // the connection counts as part of a request
	evicted        bool          // the connection must close
	serverCounted  bool          // the descriptor of its connection to a server is counted
}

// AcquireRequest counts the second descriptor that a request needs, and reports whether the limit on the
// descriptors of requests allows it. If it does, the connection cannot be evicted any more, and a pending
// eviction is cancelled.
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

// ReleaseRequest marks the connection as idle, which means evictable: the request has been answered or has
// ended, and the client's connection only needs to be closed.
func (p *Permit) ReleaseRequest() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.returnToIdle()
}

// ReleaseClient stops counting the descriptor of the client's connection, which has been closed. The
// connection to the server may still be open.
func (p *Permit) ReleaseClient() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.releaseClient()
}

// release stops counting all descriptors of the permit that are still counted.
func (p *Permit) release() {
	p.Buffers.close()
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.releaseClient()
	if p.serverCounted {
		p.serverCounted = false
		p.limiter.descriptorsHeld--
		p.limiter.requestDescriptors--
	}
}

// releaseClient stops counting the descriptor of the client's connection. The caller must hold the limiter's
// mu.
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

// cancelEviction stops counting the connection as evicted. The caller must hold the limiter's mu.
func (p *Permit) cancelEviction() {
	if !p.evicted {
		return
	}
	p.evicted = false
	p.limiter.evicting--
	p.limiter.evictionDone.Signal()
}

// returnToIdle makes the connection of a request idle again. The caller must hold the limiter's mu.
func (p *Permit) returnToIdle() {
	if !p.requestCounted {
		return
	}
	p.requestCounted = false
	p.limiter.requestDescriptors--
	p.idleElement = p.limiter.idlePermits.PushBack(p)
}

// CloseAndRelease closes the client's connection gracefully and releases its descriptor. It then waits until
// the request's connection to a server is closed too. request is nil if the client sent none.
func (p *Permit) CloseAndRelease(request *relay.Request) {
	p.ReleaseRequest()
	p.Conn.CloseAndDiscard()
	p.ReleaseClient()
	if request != nil {
		<-request.BothSidesDone()
	}
}
