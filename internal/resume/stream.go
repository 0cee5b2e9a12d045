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

// Notes that tell a client why its stream cannot be resumed. All are final: the client has to start a new
// stream. The platform protocol defines their texts.
const (
	NoteInvalidToken    = "token"    // not a token, or sealed with a key that the key ring does not contain
	NoteExpired         = "expired"  // the token has expired
	NoteMismatch        = "mismatch" // the token is for another class, tenant, key or group
	NoteStaleToken      = "behind"   // the client is known to have received a later token
	NoteUnknownStream   = "unknown"  // the ownership service has no record of the stream
	NoteInvalidPosition = "position" // not a position, or one before the start of the stream
	NotePositionAhead   = "ahead"    // a position that the server has not reached yet
)

var (
	errNoFencingToken = errors.New("resume token contains no fencing token")
	errLastPosition   = errors.New("position is the maximum value, so no scan can follow it")
)

// releaseTimeout is the longest wait for the release of a stream before its client is sent away. Without this
// wait, the client could reach the next relay before the release and be rejected there.
const releaseTimeout = 150 * time.Millisecond

// minRetryAfterLoss sets the retry time for a client whose stream lost its ownership: 1 to 2 times this
// value.
const minRetryAfterLoss = 500 * time.Millisecond

// StreamRequest contains the properties of a client's request, which its token must match, and the last scan
// that the client has received.
type StreamRequest struct {
	Class, Tenant string
	Key, Group    uint64
	Position      uint64
	HasPosition   bool
}

// Stream is a stream at this relay, with its ownership, its server's lease and its client's tokens. It
// implements relay.OwnershipLease. SetPosition, TokenDue, NextCheck, BeginAttempt, ServerLease and IssueToken
// may be called only by the goroutine that forwards lines to the client.
type Stream struct {
	StreamRequest
	ID        token.StreamID
	FirstScan uint64 // the first scan that the client needs; 0 for any

	service            *Service
	clientFencingToken uint64        // from the client's resume token; 0 for a new stream
	fencingToken       atomic.Uint64 // of this ownership; 0 until it is acquired
	ownershipLost      atomic.Bool
	tokenIssued        atomic.Bool // a token was issued, so that another relay may acquire the stream
	position           atomic.Uint64
	released           chan struct{}
	releaseOnce        sync.Once

	serverName  string // written to tokens
	lastIssued  issuedToken
	serverLease serverLease

	mu          sync.Mutex
	acquisition // guarded by mu
}

// acquisition is the state of a stream's ownership. Each attempt to acquire the stream has a new handle.
type acquisition struct {
	request               *relay.Request
	handle                uint64 // of the current attempt; 0 for none
	requestEnded          bool   // the request has released the stream
	confirmedFencingToken uint64 // fencing token of the newest token that the client has confirmed
	recordExpiresUnixMs   int64  // as last requested by this relay
}

// NewStream returns a new stream. It is served even while the ownership service cannot be reached; its first
// token is issued once the stream is acquired.
func (s *Service) NewStream(r StreamRequest) *Stream {
	st := &Stream{StreamRequest: r, ID: token.NewStreamID(), service: s, released: make(chan struct{})}
	if r.HasPosition {
		st.FirstScan = r.Position + 1
		st.position.Store(r.Position)
	}
	return st
}

// RejectError is the reason why a stream cannot be resumed.
type RejectError struct {
	Note string // text for the client, one of the Note constants
	Err  error
}

// Error returns the text of Err.
func (e *RejectError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *RejectError) Unwrap() error { return e.Err }

// ResumeStream returns the stream of a resume token. An error is a *RejectError.
func (s *Service) ResumeStream(text string, r StreamRequest) (*Stream, error) {
	t, err := s.keys.Load().Open(text)
	if err != nil {
		return nil, &RejectError{NoteInvalidToken, err}
	}
	if t.FencingToken == 0 { // package ownership would treat 0 as a new stream, without checks
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
	if !r.HasPosition { // start after the last scan forwarded when the token was issued
		r.Position = t.Position
	}
	if r.Position == 1<<64-1 {
		return nil, &RejectError{NoteInvalidPosition, errLastPosition}
	}
	st := &Stream{
		StreamRequest:      r,
		ID:                 t.Stream,
		FirstScan:          r.Position + 1,
		service:            s,
		clientFencingToken: t.FencingToken,
		released:           make(chan struct{}),
	}
	st.position.Store(r.Position)
	return st, nil
}

// MustWait reports whether the request has to wait for its ownership. Only resumed streams wait, as another
// relay may own them.
func (st *Stream) MustWait() bool { return st.clientFencingToken != 0 }

// Acquire requests ownership of the stream for a request.
func (st *Stream) Acquire(r *relay.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.request = r
	st.acquire(min(st.service.AcquireTimeout, r.Timeout))
}

// acquire requests ownership under a new handle. The caller must hold st.mu.
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
		FencingToken:  st.clientFencingToken,
		Deadline:      s.Clock.Now() + within,
		ExpiresUnixMs: st.recordExpiresUnixMs,
	}
	s.enqueue(func() {
		s.streams[a.Handle] = st
		s.handleEvent(a)
	})
}

// recordEnd returns the expiry time, as Unix time in ms, for a record that is written now. Any token issued
// within the next TokenLifetime has expired by then.
func (st *Stream) recordEnd() int64 {
	s := st.service
	return s.wallNow().Add(2*s.TokenLifetime + s.MaxClockSkew).UnixMilli()
}

// Release releases the ownership. Further calls have no effect.
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

// markReleased notes that another relay can acquire the stream, or that this relay never owned it.
func (st *Stream) markReleased() { st.releaseOnce.Do(func() { close(st.released) }) }

// ReleaseAndWait releases the ownership before the client is sent away, and waits up to releaseTimeout until
// it is released. The stream's connection to its server must be closed before the call.
func (st *Stream) ReleaseAndWait() {
	st.Release()
	select {
	case <-st.released:
	case <-st.service.Clock.After(releaseTimeout):
	}
}

// handleAcquired is called when this relay has acquired the stream. Run's goroutine calls handleAcquired,
// handleRejected and handleLeaseExpired.
func (st *Stream) handleAcquired(fencingToken uint64) {
	st.fencingToken.Store(fencingToken)
	st.mu.Lock()
	r := st.request
	st.mu.Unlock()
	if st.clientFencingToken != 0 {
		r.OwnershipAcquired()
	} else {
		r.WakeServerSide() // its first token can be issued now
	}
}

// handleRejected is called when the acquisition of the stream was rejected.
func (st *Stream) handleRejected(a relay.Answer) {
	st.mu.Lock()
	r := st.request
	st.handle = 0
	st.mu.Unlock()
	r.OwnershipDenied(a)
}

// handleLeaseExpired is called when the ownership may be lost, and ends the stream at this relay. A stream
// without an issued token cannot have been acquired by another relay: it is still served and is acquired
// again.
func (st *Stream) handleLeaseExpired() {
	st.mu.Lock()
	r := st.request
	noTokenIssued := st.clientFencingToken == 0 && !st.tokenIssued.Load() && !st.requestEnded
	if noTokenIssued {
		st.reacquire()
	}
	st.mu.Unlock()
	if noTokenIssued {
		return
	}
	st.ownershipLost.Store(true)
	wait := float64(minRetryAfterLoss) * (1 + rand.Float64())
	r.OwnershipLost(time.Duration(wait))
}

// reacquire releases the handle and requests ownership under a new one. The caller must hold st.mu.
func (st *Stream) reacquire() {
	s, old := st.service, st.handle
	st.fencingToken.Store(0)
	s.enqueue(func() {
		delete(s.streams, old)
		s.handleEvent(ownership.Release{Handle: old})
	})
	st.acquire(s.AcquireTimeout)
}

// MayForward reports whether a line may still be forwarded. It must be called before each line, as a process
// that was suspended until after the end of its lease must not forward the lines that it had read before.
func (st *Stream) MayForward() bool {
	if !st.tokenIssued.Load() && st.clientFencingToken == 0 {
		return true
	}
	return !st.ownershipLost.Load() && st.service.Clock.Now() < st.service.ValidUntil()
}

// AllServersResume reports whether every server can resume streams, whatever the endpoint list says.
func (st *Stream) AllServersResume() bool { return st.service.AllServersResume }

// FencingToken returns the fencing token for a server. The first fencing token of a new stream is 1, even
// before the stream is acquired.
func (st *Stream) FencingToken() uint64 { return max(1, st.fencingToken.Load()) }

// SetServer sets the id of the server that serves the stream.
func (st *Stream) SetServer(id string) { st.serverName = id }

// SetPosition sets the last scan that was forwarded to the client.
func (st *Stream) SetPosition(scan uint64) { st.position.Store(scan) }

// Position returns the last scan that was forwarded to the client.
func (st *Stream) Position() uint64 { return st.position.Load() }
