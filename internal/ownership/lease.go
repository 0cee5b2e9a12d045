// Package ownership decides which relay may serve a stream now. A Keeper is one relay's part in that: it is fed
// events, takes time as an argument, returns actions, and does no I/O. What it asks of a claim service is
// what ZooKeeper gives: exclusive creation, ephemeral nodes that go with their session, versions, and several
// of these in one transaction. docs/design/resume.md has the reasons.
//
// All times are milliseconds of one relay's clock; no two relays' clocks are ever compared.
package ownership

import (
	"math/rand/v2"

	"capersail/internal/token"
)

// Lease is one relay's claims. It is not safe for concurrent use.
type Lease struct {
	rng           *rand.Rand
	streams       map[token.StreamID]*entry
	byHandle      map[uint64]*entry
	pending       map[uint64]*entry
	undecided     map[uint64]*entry // the callers whose patience can end
	lastRequestID uint64

	margin         float64 // Grace, but for the test that a shorter one is found out
	sessionID      int64
	sessionTimeout float64
	renewedAt      float64
	connected      bool
	now            float64
	actions        []Action
}

// New returns a Keeper without a session.
func New(seed uint64) *Lease {
	return &Lease{margin: ExpiryMargin, rng: rand.New(rand.NewPCG(seed, 0x636c61696d)), streams: map[token.StreamID]*entry{},
		byHandle: map[uint64]*entry{}, pending: map[uint64]*entry{},
		undecided: map[uint64]*entry{}}
}

// ValidUntil is when the claims are no longer to be trusted; 0 if there are none to trust.
func (k *Lease) ValidUntil() float64 {
	if k.sessionID == 0 {
		return 0
	}
	return k.renewedAt + k.sessionTimeout*(1-MaxClockDrift) - k.margin
}

// OwnedCount is how many streams are this relay's now, and Streams how many it knows of in any state.
func (k *Lease) OwnedCount() (n int) {
	for _, e := range k.streams {
		if e.phase == owned {
			n++
		}
	}
	return n
}

// StreamCount is how many streams the Keeper knows of in any state.
func (k *Lease) StreamCount() int { return len(k.streams) }

// NextTick is when a Tick is due at the latest: when the claims lapse or a caller's patience ends.
func (k *Lease) NextTick() float64 {
	next := k.now + 250
	if u := k.ValidUntil(); u > k.now {
		next = min(next, u)
	}
	for _, e := range k.undecided {
		if e.deadline > k.now {
			next = min(next, e.deadline)
		}
	}
	return next
}

// Handle takes one event and appends what is to be done about it to out.
func (k *Lease) Handle(now float64, ev Event, out []Action) []Action {
	k.now, k.actions = now, out
	// A clock that jumped, or a process that slept: what has lapsed meanwhile lapses before anything else, but
	// news of the session itself is older than the sleep and is taken first.
	switch e := ev.(type) {
	case Renewed:
		k.renewedAt = max(k.renewedAt, e.SentAt)
	case SessionConnected:
		if e.SessionID == k.sessionID {
			k.renewedAt = max(k.renewedAt, e.SentAt)
		}
	}
	k.expireLease()
	switch e := ev.(type) {
	case Acquire:
		k.acquire(e)
	case Release:
		k.release(e.Handle)
	case ExtendRecord:
		k.extendRecord(e)
	case SessionConnected:
		k.sessionConnected(e)
	case SessionDisconnected:
		k.connected = false
	case SessionExpired:
		k.endSession()
	case Reply:
		k.handleReply(e)
	case Tick:
		k.tick()
	}
	return k.actions
}

// canAcquire tells whether a claim that is won now could be trusted.
func (k *Lease) canAcquire() bool { return k.connected && k.now < k.ValidUntil() }

func (k *Lease) emit(a Action) { k.actions = append(k.actions, a) }

// sendRequest asks the service for something about an entry's stream.
func (k *Lease) sendRequest(e *entry, kind RequestKind, r Record) uint64 {
	k.lastRequestID++
	k.pending[k.lastRequestID] = e
	k.emit(Request{ID: k.lastRequestID, Kind: kind, Stream: e.stream, Version: e.version, Record: r})
	return k.lastRequestID
}

// enterPhase sends the request of an entry's next phase.
func (k *Lease) enterPhase(e *entry, p phase, kind RequestKind, r Record) {
	e.phase = p
	e.requestID = k.sendRequest(e, kind, r)
}

// tick answers callers whose patience is over, and goes on with what had to wait.
func (k *Lease) tick() {
	over := func(e *entry) bool { return k.undecided[e.handle] == e && k.now >= e.deadline }
	waits := func(e *entry) bool { return e.phase == waitingForService && k.canAcquire() }
	unsaid := func(e *entry) bool { return e.phase == uncertain && k.connected } // the service had refused to say
	for _, e := range k.entriesWhere(func(e *entry) bool { return over(e) || waits(e) || unsaid(e) }) {
		switch {
		case over(e):
			k.reject(e, e.handle, ErrTimedOut)
		case waits(e):
			k.startAcquisition(e)
		case unsaid(e):
			k.enterPhase(e, checkingHolder, CheckHolder, Record{})
		}
	}
}

func (k *Lease) handleReply(r Reply) {
	e := k.pending[r.RequestID]
	if e == nil {
		return
	}
	delete(k.pending, r.RequestID)
	if r.RequestID == e.updateID {
		k.recordUpdated(e, r)
		return
	}
	if r.RequestID != e.requestID {
		return
	}
	switch e.phase {
	case readingRecord:
		k.recordRead(e, r)
	case acquiring:
		k.acquisitionReplied(e, r)
	case checkingHolder:
		switch {
		case r.Code == OK && r.OwnerSession == k.sessionID:
			k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
		case r.Code == OK || r.Code == NotFound:
			k.holderGone(e)
		default:
			e.phase = uncertain
		}
	case deletingHolder:
		if r.Code == OK || r.Code == NotFound {
			k.holderGone(e)
		} else {
			e.phase = uncertain
		}
	}
}
