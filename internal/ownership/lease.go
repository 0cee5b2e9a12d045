package ownership

import (
	"math/rand/v2"
	"time"

	"capersail/internal/token"
)

// Lease is one relay's ownership of streams, all under the lease of one session with the service. It is a
// state machine: events in, actions out. It is not safe for concurrent use.
//
// Its invariants, which the model test checks against an adversary:
//
//   - One owner: StreamAcquired is emitted only for a holder that this session created, and only before
//     ValidUntil. Every owned stream has LeaseExpired at ValidUntil, ExpiryMargin before another relay can
//     acquire it.
//   - Fencing: the token of each acquisition of a stream is higher than that of the one before, and a
//     client's token below the record's MinFencingToken is never acquired with.
//   - One answer: each Acquire has one StreamAcquired or one AcquisitionRejected, and nothing after a Release
//     but StreamReleased.
//   - Own nodes only: a holder is deleted only if this session owns it. One that may be this session's,
//     because a reply is missing, is checked before anything else is done with its stream.
//   - Bounded memory: an entry lives while it has a caller, a request under way, or a holder to clean up.
type Lease struct {
	rng *rand.Rand

	streams       map[token.StreamID]*entry
	byHandle      map[uint64]*entry // entries with a caller, by its handle
	undecided     map[uint64]*entry // those whose caller is to be rejected at its deadline
	pending       map[uint64]*entry // by the id of a request that is under way
	lastRequestID uint64

	margin         time.Duration // ExpiryMargin; less in the test that the model finds such a fault
	sessionID      int64         // 0 without a session
	sessionTimeout time.Duration
	renewedAt      time.Duration // when the newest request that was answered was sent
	connected      bool

	now     time.Duration // of the event that is handled
	actions []Action      // that it has led to
}

// New returns a Lease without a session. The seed is that of the retry times.
func New(seed uint64) *Lease {
	return &Lease{
		rng:       rand.New(rand.NewPCG(seed, 0x636c61696d)),
		streams:   map[token.StreamID]*entry{},
		byHandle:  map[uint64]*entry{},
		undecided: map[uint64]*entry{},
		pending:   map[uint64]*entry{},
		margin:    ExpiryMargin,
	}
}

// ValidUntil is the instant from which on the lease is not trusted; 0 without a session.
func (l *Lease) ValidUntil() time.Duration {
	if l.sessionID == 0 {
		return 0
	}
	return l.renewedAt + l.sessionTimeout - l.sessionTimeout/ClockDriftDivisor - l.margin
}

// OwnedCount is how many streams this relay owns now.
func (l *Lease) OwnedCount() (n int) {
	for _, e := range l.streams {
		if e.phase == owned {
			n++
		}
	}
	return n
}

// StreamCount is how many streams the Lease has an entry of, in any phase.
func (l *Lease) StreamCount() int { return len(l.streams) }

// NextTick is the instant at which a Tick is due at the latest: the lease expires, or a caller's deadline
// passes.
func (l *Lease) NextTick() time.Duration {
	next := l.now + tickInterval
	if until := l.ValidUntil(); until > l.now {
		next = min(next, until)
	}
	for _, e := range l.undecided {
		if e.deadline > l.now {
			next = min(next, e.deadline)
		}
	}
	return next
}

// Handle takes one event at an instant and appends what is to be done about it to out.
func (l *Lease) Handle(now time.Duration, ev Event, out []Action) []Action {
	l.now, l.actions = now, out
	// After a clock jump, or a sleep of the process, the lease expires before the event has its effect.
	// SessionRenewed and SessionConnected are of before that sleep and are taken first.
	l.renew(ev)
	l.expireLease()
	switch e := ev.(type) {
	case Acquire:
		l.handleAcquire(e)
	case Release:
		l.handleRelease(e.Handle)
	case ExtendRecord:
		l.handleExtendRecord(e)
	case SessionConnected:
		l.handleSessionConnected(e)
	case SessionDisconnected:
		l.connected = false
	case SessionExpired:
		l.endSession()
	case Reply:
		l.handleReply(e)
	case Tick:
		l.handleTick()
	}
	return l.actions
}

// canAcquire tells whether a stream that is acquired now could be served.
func (l *Lease) canAcquire() bool { return l.connected && l.now < l.ValidUntil() }

func (l *Lease) emit(a Action) { l.actions = append(l.actions, a) }

// sendRequest asks the service for something about an entry's stream, and returns the request's id.
func (l *Lease) sendRequest(e *entry, kind RequestKind, r Record) uint64 {
	l.lastRequestID++
	l.pending[l.lastRequestID] = e
	l.emit(Request{ID: l.lastRequestID, Kind: kind, Stream: e.stream, Version: e.version, Record: r})
	return l.lastRequestID
}

// enterPhase puts an entry into a phase and sends the request that the phase waits for.
func (l *Lease) enterPhase(e *entry, p phase, kind RequestKind, r Record) {
	e.phase = p
	e.requestID = l.sendRequest(e, kind, r)
}

// handleReply takes a request's reply to what waits for it. One that nothing waits for any more is ignored.
func (l *Lease) handleReply(r Reply) {
	e := l.pending[r.RequestID]
	if e == nil {
		return
	}
	delete(l.pending, r.RequestID)
	switch {
	case r.RequestID == e.updateID:
		l.handleUpdateReply(e, r)
	case r.RequestID != e.requestID:
	case e.phase == readingRecord:
		l.handleReadReply(e, r)
	case e.phase == acquiring:
		l.handleAcquireReply(e, r)
	case e.phase == checkingHolder:
		l.handleCheckReply(e, r)
	case e.phase == deletingHolder:
		l.handleDeleteReply(e, r)
	}
}

// handleTick rejects callers whose deadline has passed, and goes on with what had to wait.
func (l *Lease) handleTick() {
	late := func(e *entry) bool { return l.undecided[e.handle] == e && l.now >= e.deadline }
	waits := func(e *entry) bool { return e.phase == waitingForService && l.canAcquire() }
	// The service failed to say who owns the holder.
	unchecked := func(e *entry) bool { return e.phase == uncertain && l.connected }
	due := l.entriesWhere(func(e *entry) bool { return late(e) || waits(e) || unchecked(e) })
	for _, e := range due {
		switch {
		case late(e):
			l.reject(e, ErrTimedOut)
		case waits(e):
			l.startAcquisition(e)
		case unchecked(e):
			l.enterPhase(e, checkingHolder, CheckHolder, Record{})
		}
	}
}
