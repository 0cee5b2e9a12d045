package resume

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/token"
)

// The notes that say to a client why its stream cannot go on. All are final: the client begins a new stream.
// Their texts are the platform's.
const (
	NoteInvalidToken    = "token"    // not a token, or sealed by no key of ours
	NoteExpired         = "expired"  // its time is over
	NoteMismatch        = "mismatch" // of another class, tenant, key or group
	NoteStaleToken      = "behind"   // a later token is known to have arrived
	NoteUnknownStream   = "unknown"  // the ownership service has no such stream
	NoteInvalidPosition = "position" // not a position, or one from before the stream
	NotePositionAhead   = "ahead"    // a position that the server has not come to
)

var (
	errNoFencingToken = errors.New("token without a fencing token")
	errLastPosition   = errors.New("no scan can follow that position")
)

// releaseTimeout is how long an end waits for its stream to be another relay's to acquire: without that the
// client could be at the next relay first, and be rejected there.
const releaseTimeout = 150 * time.Millisecond

// minRetryAfterLoss: a client whose stream's ownership was lost retries after 1 to 2 times as much.
const minRetryAfterLoss = 500 * time.Millisecond

// StreamRequest is what a client asks for: the request that its token must be of, and the last scan that it
// has.
type StreamRequest struct {
	Class, Tenant string
	Key, Group    uint64
	Position      uint64
	HasPosition   bool
}

// Stream is a stream at this relay: its ownership, its server's lease and its client's tokens. It implements
// relay.OwnershipLease. One goroutine, that which forwards lines to the client, calls SetPosition, TokenDue,
// NextCheck, BeginAttempt, ServerLease and IssueToken.
type Stream struct {
	StreamRequest
	ID        token.StreamID
	FirstScan uint64 // the first scan wanted, 0 for whatever comes

	service           *Service
	shownFencingToken uint64        // fencing token of the token shown, 0 for a new stream
	fencingToken      atomic.Uint64 // of this ownership, 0 until it is acquired
	ownershipLost     atomic.Bool
	tokenIssued       atomic.Bool // a token was given out: the stream may be at another relay one day
	position          atomic.Uint64
	released          chan struct{}
	releaseOnce       sync.Once

	serverName  string // for tokens
	lastIssued  issuedToken
	serverLease serverLease

	mu          sync.Mutex
	acquisition // guarded by mu
}

// acquisition is a stream's part in its ownership, at one handle after the other.
type acquisition struct {
	request               *relay.Request
	handle                uint64 // 0 for none
	requestEnded          bool   // the request is done with the stream
	confirmedFencingToken uint64 // fencing token of the token that the client has confirmed
	recordExpiresUnixMs   int64  // as this relay last requested
}

// NewStream is a new stream. It is served whether or not the ownership service can be reached; its token
// follows.
func (s *Service) NewStream(r StreamRequest) *Stream {
	st := &Stream{StreamRequest: r, ID: token.NewStreamID(), service: s, released: make(chan struct{})}
	if r.HasPosition {
		st.FirstScan = r.Position + 1
		st.position.Store(r.Position)
	}
	return st
}

// RejectError says why a stream cannot be resumed.
type RejectError struct {
	Note string // for the client, one of the notes
	Err  error
}

// Error is what Err says.
func (e *RejectError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *RejectError) Unwrap() error { return e.Err }

// ResumeStream is a stream that goes on by a token. An error is a *RejectError.
func (s *Service) ResumeStream(text string, r StreamRequest) (*Stream, error) {
	t, err := s.keys.Load().Open(text)
	if err != nil {
		return nil, &RejectError{NoteInvalidToken, err}
	}
	if t.FencingToken == 0 { // inside it stands for a new stream, which nothing is checked for
		return nil, &RejectError{NoteInvalidToken, errNoFencingToken}
	}
	bound := token.Binding{Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group}
	err = t.Check(bound, s.wallNow(), s.MaxClockSkew)
	switch {
	case errors.Is(err, token.ErrExpired):
		return nil, &RejectError{NoteExpired, err}
	case err != nil:
		return nil, &RejectError{NoteMismatch, err}
	}
	if !r.HasPosition { // what the relay that gave it had forwarded
		r.Position = t.Position
	}
	if r.Position == 1<<64-1 {
		return nil, &RejectError{NoteInvalidPosition, errLastPosition}
	}
	st := &Stream{
		StreamRequest:     r,
		ID:                t.Stream,
		FirstScan:         r.Position + 1,
		service:           s,
		shownFencingToken: t.FencingToken,
		released:          make(chan struct{}),
	}
	st.position.Store(r.Position)
	return st, nil
}

// MustWait tells whether the request waits for its ownership: only a stream that another relay may have does.
func (st *Stream) MustWait() bool { return st.shownFencingToken != 0 }

// Acquire asks for the ownership.
func (st *Stream) Acquire(r *relay.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.request = r
	st.acquire(min(st.service.AcquireTimeout, r.Timeout))
}

// acquire asks for the ownership under a new handle. The caller holds the lock.
func (st *Stream) acquire(within time.Duration) {
	if st.requestEnded {
		return
	}
	s := st.service
	st.handle = s.nextHandle()
	st.recordExpiresUnixMs = st.recordEnd()
	a := ownership.Acquire{
		Handle:        st.handle,
		Stream:        st.ID,
		FencingToken:  st.shownFencingToken,
		Deadline:      s.Clock.Now() + within,
		ExpiresUnixMs: st.recordExpiresUnixMs,
	}
	s.enqueue(func() {
		s.streams[a.Handle] = st
		s.handleEvent(a)
	})
}

// recordEnd is when a record may go that is written now: no token that is given out in a lifetime from now on
// is valid then.
func (st *Stream) recordEnd() int64 {
	s := st.service
	return s.wallNow().Add(2*s.TokenLifetime + s.MaxClockSkew).UnixMilli()
}

// Release gives the ownership back. A second call does nothing more.
func (st *Stream) Release() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.requestEnded {
		return
	}
	st.requestEnded = true
	if st.handle == 0 {
		st.markReleased()
		return
	}
	st.service.enqueue(ownership.Release{Handle: st.handle})
}

// markReleased says that another relay can acquire the stream, or that this one never had.
func (st *Stream) markReleased() { st.releaseOnce.Do(func() { close(st.released) }) }

// ReleaseAndWait gives the ownership back before the client is sent away, and waits for that for at most
// releaseTimeout. The stream's connection to its server must be closed.
func (st *Stream) ReleaseAndWait() {
	st.Release()
	select {
	case <-st.released:
	case <-st.service.Clock.After(releaseTimeout):
	}
}

// handleAcquired is called when the stream has become this relay's. Run's goroutine calls it, as the next
// two.
func (st *Stream) handleAcquired(fencingToken uint64) {
	st.fencingToken.Store(fencingToken)
	st.mu.Lock()
	r := st.request
	st.mu.Unlock()
	if st.shownFencingToken != 0 {
		r.OwnershipAcquired()
	} else {
		r.WakeServerSide() // its token can be given out
	}
}

// handleRejected is called when the stream has not become this relay's.
func (st *Stream) handleRejected(a relay.Answer) {
	st.mu.Lock()
	r := st.request
	st.handle = 0
	st.mu.Unlock()
	r.OwnershipDenied(a)
}

// handleLeaseExpired is called when the ownership may be lost: the stream ends here. A stream
// of which no token is out cannot be another relay's; it is served on and acquired anew.
func (st *Stream) handleLeaseExpired() {
	st.mu.Lock()
	r := st.request
	onlyHere := st.shownFencingToken == 0 && !st.tokenIssued.Load() && !st.requestEnded
	if onlyHere {
		st.reacquire()
	}
	st.mu.Unlock()
	if onlyHere {
		return
	}
	st.ownershipLost.Store(true)
	wait := float64(minRetryAfterLoss) * (1 + rand.Float64())
	r.OwnershipLost(time.Duration(wait))
}

// reacquire releases the handle and asks under another. The caller holds the lock.
func (st *Stream) reacquire() {
	s, old := st.service, st.handle
	st.fencingToken.Store(0)
	s.enqueue(func() {
		delete(s.streams, old)
		s.handleEvent(ownership.Release{Handle: old})
	})
	st.acquire(s.AcquireTimeout)
}

// MayForward tells whether a line may still be forwarded. It is asked before each: a process that slept past
// the end of its lease must not forward what it had read before.
func (st *Stream) MayForward() bool {
	if !st.tokenIssued.Load() && st.shownFencingToken == 0 {
		return true
	}
	return !st.ownershipLost.Load() && st.service.Clock.Now() < st.service.ValidUntil()
}

// AllServersResume tells whether every server takes streams up, whatever the endpoint list says.
func (st *Stream) AllServersResume() bool { return st.service.AllServersResume }

// FencingToken is the fencing token that a server gets. A new stream's first is 1, whether or not it
// is acquired yet.
func (st *Stream) FencingToken() uint64 { return max(1, st.fencingToken.Load()) }

// SetServer says which server serves it.
func (st *Stream) SetServer(id string) { st.serverName = id }

// SetPosition says that a scan has gone to the client.
func (st *Stream) SetPosition(scan uint64) { st.position.Store(scan) }

// Position is the last scan that went to the client.
func (st *Stream) Position() uint64 { return st.position.Load() }
