package resume

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"capersail/internal/ownership"
	"capersail/internal/relay"
	"capersail/internal/token"
)

// What a client may be told of why its stream cannot go on. All are final: the client begins anew.
const (
	NoteInvalidToken    = "token"    // not a token, or sealed by no key of ours
	NoteExpired         = "expired"  // its time is over
	NoteMismatch        = "mismatch" // of another class, tenant, key or group
	NoteStaleToken      = "behind"   // a later token is known to have arrived
	NoteUnknownStream   = "unknown"  // the claim service has no such stream
	NoteInvalidPosition = "position" // not a position, or one from before the stream
	NotePositionAhead   = "ahead"    // a position that the server has not come to
)

// releaseTimeout is how long an end waits for its claim to be another's to win, in milliseconds: without that
// the client could be at the next relay first, and be told to come again.
const releaseTimeout = 150.0

// StreamRequest is what a client asks for: the request that its token must be of, and the last scan that it has.
type StreamRequest struct {
	Class, Tenant string
	Key, Group    uint64
	Position      uint64
	HasPosition   bool
}

// Stream is a stream's claim at this relay, and its way to tokens. It implements relay.Claim. One goroutine,
// that which passes lines to the client, calls Passed, Due and Token.
type Stream struct {
	StreamRequest
	ID        token.StreamID
	FirstScan uint64 // the first scan wanted, 0 for whatever comes

	service            *Service
	shownToken         uint64 // generation of the token shown, 0 for a new stream
	released           chan struct{}
	releaseOnce        sync.Once
	position           atomic.Uint64
	tokenIssued        atomic.Bool // a token was given out: the stream may be at another relay one day
	ownershipLost      atomic.Bool
	fencingToken       atomic.Uint64 // 0 until the claim is won
	serverName         string        // for tokens
	issuedAt           float64
	issuedPosition     uint64
	issuedFencingToken uint64
	serverLeased       bool // its server is told how long it may serve without hearing of us
	leaseSentAt        float64

	mu                  sync.Mutex
	call                *relay.Request
	handle              uint64
	ended               bool
	deliveredToken      uint64 // generation whose token the client has confirmed
	recordExpiresUnixMs int64  // of the record, as this relay last asked for
}

// NewStream is a new stream. It is served whether or not the claim service can be asked; its token follows.
func (s *Service) NewStream(a StreamRequest) *Stream {
	st := &Stream{StreamRequest: a, ID: token.NewStreamID(), service: s, released: make(chan struct{})}
	if a.HasPosition {
		st.FirstScan = a.Position + 1
		st.position.Store(a.Position)
	}
	return st
}

// ResumeStream is a stream that goes on. The error says why it cannot, and the note what the client is told.
func (s *Service) ResumeStream(text string, a StreamRequest) (st *Stream, note string, err error) {
	t, err := s.keys.Load().Open(text)
	if err != nil {
		return nil, NoteInvalidToken, err
	}
	if t.FencingToken == 0 { // inside it stands for a new stream, which nothing is checked for
		return nil, NoteInvalidToken, errors.New("of generation 0")
	}
	if err := t.Check(a.Class, a.Tenant, a.Key, a.Group, s.unixNow(), int64(s.MaxClockSkew)); err != nil {
		if errors.Is(err, token.ErrExpired) {
			return nil, NoteExpired, err
		}
		return nil, NoteMismatch, err
	}
	if !a.HasPosition { // what the relay that gave it had passed on
		a.Position = t.Position
	}
	if a.Position == 1<<64-1 {
		return nil, NoteInvalidPosition, errors.New("no scan can follow that position")
	}
	st = &Stream{StreamRequest: a, ID: t.Stream, FirstScan: a.Position + 1, service: s, shownToken: t.FencingToken, released: make(chan struct{})}
	st.position.Store(a.Position)
	return st, "", nil
}

// MustWait tells whether the call waits for the claim: only a stream that some other relay may have does.
func (st *Stream) MustWait() bool { return st.shownToken != 0 }

// Acquire asks for the claim.
func (st *Stream) Acquire(c *relay.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.call = c
	st.acquire(min(st.service.AcquireTimeout, relay.Millis(c.Timeout)))
}

// acquire posts a Want. The caller holds the lock.
func (st *Stream) acquire(within float64) {
	if st.ended {
		return
	}
	st.handle = st.service.nextHandle()
	st.recordExpiresUnixMs = st.service.unixNow() + int64(2*st.service.TokenLifetime+st.service.MaxClockSkew)
	w := ownership.Acquire{Handle: st.handle, Stream: st.ID, FencingToken: st.shownToken, Deadline: st.service.Clock.Now() + relay.Duration(within), ExpiresUnixMs: st.recordExpiresUnixMs}
	st.service.enqueue(func() {
		st.service.streams[w.Handle] = st
		st.service.handleEvent(w)
	})
}

// Release gives the claim back.
func (st *Stream) Release() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended {
		return
	}
	st.ended = true
	if st.handle == 0 {
		st.markReleased()
		return
	}
	st.service.enqueue(ownership.Release{Handle: st.handle})
}

// markReleased says that the claim is another's to win, or that there never was one.
func (st *Stream) markReleased() { st.releaseOnce.Do(func() { close(st.released) }) }

// ReleaseAndWait gives the claim back before the client is told to go, and waits for that for a moment. The
// stream's connection to its server must be closed.
func (st *Stream) ReleaseAndWait() {
	st.Release()
	select {
	case <-st.released:
	case <-st.service.Clock.AfterMillis(releaseTimeout):
	}
}

// The Service's methods; Run's goroutine calls them.

func (st *Stream) acquired(generation uint64) {
	st.fencingToken.Store(generation)
	st.mu.Lock()
	c := st.call
	st.mu.Unlock()
	if st.shownToken != 0 {
		c.OwnershipAcquired()
	} else {
		c.WakeServerSide() // its token can be given out
	}
}

func (st *Stream) rejected(a relay.Answer) {
	st.mu.Lock()
	c := st.call
	st.handle = 0
	st.mu.Unlock()
	c.OwnershipDenied(a)
}

func (st *Stream) leaseExpired() {
	st.mu.Lock()
	c := st.call
	if st.shownToken == 0 && !st.tokenIssued.Load() && !st.ended {
		// No token is out, so no other relay can have it: it is served on, and claimed anew.
		old := st.handle
		st.fencingToken.Store(0)
		st.service.enqueue(func() {
			delete(st.service.streams, old)
			st.service.handleEvent(ownership.Release{Handle: old})
		})
		st.acquire(st.service.AcquireTimeout)
		st.mu.Unlock()
		return
	}
	st.mu.Unlock()
	st.ownershipLost.Store(true)
	c.LoseOwnership(relay.Duration(500 * (1 + rand.Float64())))
}

// MayForward tells whether a line may still be passed on. It is asked before each: a process that slept past the
// end of its claims must not pass what it had read before.
func (st *Stream) MayForward() bool {
	if !st.tokenIssued.Load() && st.shownToken == 0 {
		return true
	}
	return !st.ownershipLost.Load() && st.service.Clock.NowMillis() < st.service.ValidUntil()
}

// AllServersResume tells whether every server takes streams up, whatever the list says.
func (st *Stream) AllServersResume() bool { return st.service.AllServersResume }

// FencingToken is what a server is told. A new stream's first service is 1, whether or not it is claimed yet.
func (st *Stream) FencingToken() uint64 { return max(1, st.fencingToken.Load()) }

// SetServer says which server has it.
func (st *Stream) SetServer(server string) { st.serverName = server }

// SetPosition says that a scan has gone to the client.
func (st *Stream) SetPosition(scan uint64) { st.position.Store(scan) }

// Position is the last scan that went to the client.
func (st *Stream) Position() uint64 { return st.position.Load() }
