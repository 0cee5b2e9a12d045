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
	NoteToken    = "token"    // not a token, or sealed by no key of ours
	NoteExpired  = "expired"  // its time is over
	NoteMismatch = "mismatch" // of another class, tenant, key or group
	NoteBehind   = "behind"   // a later token is known to have arrived
	NoteUnknown  = "unknown"  // the claim service has no such stream
	NotePosition = "position" // not a position, or one from before the stream
	NoteAhead    = "ahead"    // a position that the server has not come to
)

// releaseWithin is how long an end waits for its claim to be another's to win, in milliseconds: without that
// the client could be at the next relay first, and be told to come again.
const releaseWithin = 150.0

// Asked is what a client asks for: the request that its token must be of, and the last scan that it has.
type Asked struct {
	Class, Tenant string
	Key, Group    uint64
	Position      uint64
	HasPosition   bool
}

// Stream is a stream's claim at this relay, and its way to tokens. It implements relay.Claim. One goroutine,
// that which passes lines to the client, calls Passed, Due and Token.
type Stream struct {
	Asked
	ID   token.StreamID
	From uint64 // the first scan wanted, 0 for whatever comes

	s        *Service
	token    uint64 // generation of the token shown, 0 for a new stream
	released chan struct{}
	freed    sync.Once
	position atomic.Uint64
	handed   atomic.Bool // a token was given out: the stream may be at another relay one day
	lost     atomic.Bool
	gen      atomic.Uint64 // 0 until the claim is won
	server   string        // for tokens
	givenAt  float64
	givenPos uint64
	givenGen uint64
	leased   bool // its server is told how long it may serve without hearing of us
	keptAt   float64

	mu      sync.Mutex
	call    *relay.Request
	handle  uint64
	over    bool
	arrived uint64 // generation whose token the client has confirmed
	expires int64  // of the record, as this relay last asked for
}

// Fresh is a new stream. It is served whether or not the claim service can be asked; its token follows.
func (s *Service) Fresh(a Asked) *Stream {
	st := &Stream{Asked: a, ID: token.NewStreamID(), s: s, released: make(chan struct{})}
	if a.HasPosition {
		st.From = a.Position + 1
		st.position.Store(a.Position)
	}
	return st
}

// Resume is a stream that goes on. The error says why it cannot, and the note what the client is told.
func (s *Service) Resume(text string, a Asked) (st *Stream, note string, err error) {
	t, err := s.ring.Load().Open(text)
	if err != nil {
		return nil, NoteToken, err
	}
	if t.Generation == 0 { // inside it stands for a new stream, which nothing is checked for
		return nil, NoteToken, errors.New("of generation 0")
	}
	if err := t.Check(a.Class, a.Tenant, a.Key, a.Group, s.wall(), int64(s.Skew)); err != nil {
		if errors.Is(err, token.ErrExpired) {
			return nil, NoteExpired, err
		}
		return nil, NoteMismatch, err
	}
	if !a.HasPosition { // what the relay that gave it had passed on
		a.Position = t.Position
	}
	if a.Position == 1<<64-1 {
		return nil, NotePosition, errors.New("no scan can follow that position")
	}
	st = &Stream{Asked: a, ID: t.Stream, From: a.Position + 1, s: s, token: t.Generation, released: make(chan struct{})}
	st.position.Store(a.Position)
	return st, "", nil
}

// MustWait tells whether the call waits for the claim: only a stream that some other relay may have does.
func (st *Stream) MustWait() bool { return st.token != 0 }

// Acquire asks for the claim.
func (st *Stream) Acquire(c *relay.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.call = c
	st.want(min(st.s.ClaimWithin, c.Timeout))
}

// want posts a Want. The caller holds the lock.
func (st *Stream) want(within float64) {
	if st.over {
		return
	}
	st.handle = st.s.handle()
	st.expires = st.s.wall() + int64(2*st.s.TokenLife+st.s.Skew)
	w := ownership.Want{Handle: st.handle, Stream: st.ID, Generation: st.token, Until: st.s.Clock.NowMillis() + within, Expires: st.expires}
	st.s.post(func() {
		st.s.streams[w.Handle] = st
		st.s.feed(w)
	})
}

// Release gives the claim back.
func (st *Stream) Release() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.over {
		return
	}
	st.over = true
	if st.handle == 0 {
		st.free()
		return
	}
	st.s.post(ownership.Drop{Handle: st.handle})
}

// free says that the claim is another's to win, or that there never was one.
func (st *Stream) free() { st.freed.Do(func() { close(st.released) }) }

// ReleaseNow gives the claim back before the client is told to go, and waits for that for a moment. The
// stream's connection to its server must be closed.
func (st *Stream) ReleaseNow() {
	st.Release()
	select {
	case <-st.released:
	case <-st.s.Clock.After(releaseWithin):
	}
}

// The Service's methods; Run's goroutine calls them.

func (st *Stream) won(generation uint64) {
	st.gen.Store(generation)
	st.mu.Lock()
	c := st.call
	st.mu.Unlock()
	if st.token != 0 {
		c.OwnershipAcquired()
	} else {
		c.WakeServerSide() // its token can be given out
	}
}

func (st *Stream) refused(a relay.Answer) {
	st.mu.Lock()
	c := st.call
	st.handle = 0
	st.mu.Unlock()
	c.OwnershipDenied(a)
}

func (st *Stream) lapse() {
	st.mu.Lock()
	c := st.call
	if st.token == 0 && !st.handed.Load() && !st.over {
		// No token is out, so no other relay can have it: it is served on, and claimed anew.
		old := st.handle
		st.gen.Store(0)
		st.s.post(func() {
			delete(st.s.streams, old)
			st.s.feed(ownership.Drop{Handle: old})
		})
		st.want(st.s.ClaimWithin)
		st.mu.Unlock()
		return
	}
	st.mu.Unlock()
	st.lost.Store(true)
	c.LoseOwnership(500 * (1 + rand.Float64()))
}

// Trusted tells whether a line may still be passed on. It is asked before each: a process that slept past the
// end of its claims must not pass what it had read before.
func (st *Stream) Trusted() bool {
	if !st.handed.Load() && st.token == 0 {
		return true
	}
	return !st.lost.Load() && st.s.Clock.NowMillis() < st.s.Until()
}

// EveryServer tells whether every server takes streams up, whatever the list says.
func (st *Stream) EveryServer() bool { return st.s.EveryServer }

// Generation is what a server is told. A new stream's first service is 1, whether or not it is claimed yet.
func (st *Stream) Generation() uint64 { return max(1, st.gen.Load()) }

// Placed says which server has it.
func (st *Stream) Placed(server string) { st.server = server }

// Passed says that a scan has gone to the client.
func (st *Stream) Passed(scan uint64) { st.position.Store(scan) }

// Position is the last scan that went to the client.
func (st *Stream) Position() uint64 { return st.position.Load() }

// Due tells whether a token is to be given out now: the first of a generation at once, then with each Renew
// in which the position has moved, and before the one that the client has is too old.
func (st *Stream) Due() bool {
	gen := st.gen.Load()
	if gen == 0 {
		return false
	}
	age := st.s.Clock.NowMillis() - st.givenAt
	return st.givenGen != gen || age >= st.s.Renew && st.givenPos != st.position.Load() || age >= st.s.TokenLife/2
}

// NextDue is when Due and Lease are to be asked again at the latest.
func (st *Stream) NextDue() float64 {
	now := st.s.Clock.NowMillis()
	next := now + st.s.Renew
	if st.givenGen != 0 {
		next = max(now+1, st.givenAt+min(st.s.Renew, st.s.TokenLife/2))
	}
	if st.leased && st.gen.Load() != 0 {
		next = min(next, st.keptAt+st.s.Session*leasePart)
	}
	return next
}

// leasePart of a session is how often a server hears that it may go on.
const leasePart = 1.0 / 8

// Attempt begins an attempt at a server, which is told leases or not. It returns the first lease, 0 for none: a
// new stream has no token out that another relay could be shown.
func (st *Stream) Attempt(leased bool) float64 {
	st.leased, st.keptAt = leased, 0
	if st.token == 0 {
		return 0
	}
	return st.Lease()
}

// Lease is for how long the server may serve on without hearing of us, in ms; 0 if it need not be told now.
// Without it a relay that is stopped would leave its server serving while the next relay's does too. What the
// lease is longer than our trust by half of ownership.Grace, so that the client is told to move before its server
// ends the stream; the other half is for the lease's way to the server.
func (st *Stream) Lease() float64 {
	now := st.s.Clock.NowMillis()
	if !st.leased || st.gen.Load() == 0 || now-st.keptAt < st.s.Session*leasePart {
		return 0
	}
	st.keptAt = now
	return max(1, st.s.Until()-now+ownership.Grace/2)
}

// Token seals a token for now; "" if there is none to give.
func (st *Stream) Token() string {
	gen := st.gen.Load()
	if gen == 0 || st.lost.Load() {
		return ""
	}
	now, wall, pos := st.s.Clock.NowMillis(), st.s.wall(), st.position.Load()
	text, err := st.s.ring.Load().Seal(&token.Token{Stream: st.ID, Generation: gen, Class: st.Class, Tenant: st.Tenant,
		Key: st.Key, Group: st.Group, Position: pos, Server: st.server, Relay: st.s.Relay, Issued: wall,
		Expires: wall + int64(st.s.TokenLife)})
	st.givenAt, st.givenPos, st.givenGen = now, pos, gen
	if err != nil {
		st.s.Log.Error().Err(err).Str("class", st.Class).Str("tenant", st.Tenant).Msg("no token can be sealed")
		return ""
	}
	st.handed.Store(true)
	st.mu.Lock()
	defer st.mu.Unlock()
	if end := wall + int64(2*st.s.TokenLife+st.s.Skew); float64(end-st.expires) > st.s.TokenLife/4 && !st.over {
		st.expires = end
		st.s.post(ownership.Confirm{Handle: st.handle, Expires: end})
	}
	return text
}

// Got says that the client has the token of a generation: earlier ones are worth nothing from then on.
func (st *Stream) Got(generation uint64) {
	gen := st.gen.Load()
	st.mu.Lock()
	defer st.mu.Unlock()
	if generation != gen || gen == 0 || st.arrived == gen || st.over || !st.handed.Load() {
		return
	}
	st.arrived = gen
	st.s.post(ownership.Confirm{Handle: st.handle, Arrived: true, Expires: st.expires})
}
