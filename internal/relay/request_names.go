package relay

import "time"

// NameClaims is what the processes of one relay share of their requests' names: in an upgrade, a name that is
// in use at one process is not accepted by the other. Its methods must not block for long.
type NameClaims interface {
	// Claim reports whether no other process uses the name, which this process uses then.
	Claim(name string) bool
	// Release ends this process's use of the name.
	Release(name string)
}

// maxRetainedNames bounds the names that are retained after their requests. The oldest are given up first.
const maxRetainedNames = 8192

// requestNames contains the names that new requests must not have: those of open requests, and for some time
// those of requests that may have run. Servers know a request by its name, so that another one with the same
// name would run it a second time. It is not safe for concurrent use.
type requestNames struct {
	claims   NameClaims          // nil if no other process serves this relay's clients
	inUse    map[string]*Request // nil for a retained name
	retained []retainedName      // oldest first
}

// retainedName is the name of a request that has ended and may have run.
type retainedName struct {
	name  string
	until time.Duration
}

// take makes a request the owner of its name, unless the name is in use.
func (n *requestNames) take(r *Request, now time.Duration) {
	if r.Name == "" {
		return
	}
	n.expire(now)
	if _, taken := n.inUse[r.Name]; taken {
		return
	}
	if n.claims != nil && !n.claims.Claim(r.Name) {
		return
	}
	n.inUse[r.Name] = r
}

// isOwnedBy reports whether a request is the owner of its name, which is also so if it has none.
func (n *requestNames) isOwnedBy(r *Request) bool { return r.Name == "" || n.inUse[r.Name] == r }

// giveUp ends the ownership of a request that has ended. A name is retained until the given instant, if that
// is not 0.
func (n *requestNames) giveUp(r *Request, retainUntil time.Duration) {
	if r.Name == "" || n.inUse[r.Name] != r {
		return
	}
	if retainUntil == 0 {
		n.release(r.Name)
		return
	}
	if len(n.retained) >= maxRetainedNames {
		n.releaseOldest()
	}
	n.inUse[r.Name] = nil
	n.retained = append(n.retained, retainedName{r.Name, retainUntil})
}

// expire releases retained names whose time is over.
func (n *requestNames) expire(now time.Duration) {
	for len(n.retained) > 0 && n.retained[0].until <= now {
		n.releaseOldest()
	}
}

func (n *requestNames) releaseOldest() {
	n.release(n.retained[0].name)
	n.retained[0] = retainedName{}
	n.retained = n.retained[1:]
}

func (n *requestNames) release(name string) {
	delete(n.inUse, name)
	if n.claims != nil {
		n.claims.Release(name)
	}
}

// SetNameClaims makes the table share the names of its requests with other processes. It must be called
// before the first request.
func (t *RequestTable) SetNameClaims(claims NameClaims) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.names.claims = claims
}

// retainNameUntil returns until when the name of a request that has ended must not be used again; 0 if no
// server can have run the request. A server may still run it until the client's deadline, and servers
// recognise a retry within the dedup window. The caller holds the lock.
func (r *Request) retainNameUntil() time.Duration {
	if !r.possibleRun.exists {
		return 0
	}
	class := &r.table.deployment.Settings.Classes[r.Class]
	return r.table.Clock.Now() + max(class.Deadline, class.DedupWindow)
}
