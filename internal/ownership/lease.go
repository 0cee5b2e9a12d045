package ownership

import (
	"math/rand/v2"
	"time"

	"capersail/internal/token"
)

// Lease manages one relay's ownership of streams, all of which depend on the lease of one session with the
// ownership service. It is a state machine that takes events and returns actions. It is not safe for
// concurrent use.
//
// Its invariants, which the model test checks under random faults:
//
//   - One owner: StreamAcquired is emitted only for a holder that this session created, and only before
//     ValidUntil. LeaseExpired is emitted for every owned stream at ValidUntil, which is ExpiryMargin before
//     another relay can acquire the stream.
//   - Fencing: each acquisition of a stream gets a higher fencing token than the one before, and a client's
//     token below the record's MinFencingToken never acquires the stream.
//   - One answer: each Acquire gets one StreamAcquired or one AcquisitionRejected, and after a Release only
//     StreamReleased follows.
//   - Own nodes only: a holder is deleted only if this session owns it. If a reply was lost, so that this
//     session may own the holder, the holder is checked before anything else is done with its stream.
//   - Bounded memory: an entry exists only while it has a caller, a request in flight, or a holder to clean
//     up.
type Lease struct {
	rng *rand.Rand

	streams         map[token.StreamID]*streamEntry
	byHandle        map[uint64]*streamEntry // entries that have a caller, by its handle
	pendingResumes  map[uint64]*streamEntry // resuming callers by handle, until answered
	pendingRequests map[uint64]*streamEntry // by the id of the request in flight
	lastRequestID   uint64

	expiryMargin   time.Duration // ExpiryMargin; 0 in the test that the model detects a short margin
	sessionID      int64         // 0 without a session
	sessionTimeout time.Duration
	renewedAt      time.Duration // send time of the newest message that was answered
	connected      bool

	now     time.Duration // time of the event being handled
	actions []Action      // actions emitted for the event being handled
}

// New returns a Lease without a session. The seed is for the random retry times.
func New(seed uint64) *Lease {
	return &Lease{
		rng:             rand.New(rand.NewPCG(seed, 0x636c61696d)),
		streams:         map[token.StreamID]*streamEntry{},
		byHandle:        map[uint64]*streamEntry{},
		pendingResumes:  map[uint64]*streamEntry{},
		pendingRequests: map[uint64]*streamEntry{},
		expiryMargin:    ExpiryMargin,
	}
}

// ValidUntil returns the instant from which on the lease is no longer trusted; 0 without a session.
func (l *Lease) ValidUntil() time.Duration {
	if l.sessionID == 0 {
		return 0
	}
	return l.renewedAt + l.sessionTimeout - l.sessionTimeout/ClockDriftDivisor - l.expiryMargin
}

// OwnedCount returns the number of streams that this relay owns now.
func (l *Lease) OwnedCount() (n int) {
	for _, e := range l.streams {
		if e.phase == phaseOwned {
			n++
		}
	}
	return n
}

// StreamCount returns the number of streams with an entry, in any phase.
func (l *Lease) StreamCount() int { return len(l.streams) }

// NextTick returns the latest instant for the next Tick: one tickInterval from now, or earlier if the lease
// expires or a caller's deadline passes before.
func (l *Lease) NextTick() time.Duration {
	next := l.now + tickInterval
	if until := l.ValidUntil(); until > l.now {
		next = min(next, until)
	}
	for _, e := range l.pendingResumes {
		if e.deadline > l.now {
			next = min(next, e.deadline)
		}
	}
	return next
}

// Handle processes one event at the instant now and returns out with the resulting actions appended.
func (l *Lease) Handle(now time.Duration, ev Event, out []Action) []Action {
	l.now, l.actions = now, out
	// If the process has slept or its clock has jumped, the lease must expire before the event takes effect.
	// A renewal by SessionRenewed or SessionConnected carries its own earlier send time, so it is noted
	// first.
	l.noteSessionRenewal(ev)
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

// canAcquire reports whether the service is connected and the lease is valid, so that a stream acquired now
// could be served.
func (l *Lease) canAcquire() bool { return l.connected && l.now < l.ValidUntil() }

func (l *Lease) emit(a Action) { l.actions = append(l.actions, a) }

// sendRequest emits a request to the service for an entry's stream and returns the request's id.
func (l *Lease) sendRequest(e *streamEntry, kind RequestKind, r Record) uint64 {
	l.lastRequestID++
	l.pendingRequests[l.lastRequestID] = e
	l.emit(Request{ID: l.lastRequestID, Kind: kind, Stream: e.stream, Version: e.version, Record: r})
	return l.lastRequestID
}

// enterPhase moves an entry to a phase and sends the request that the phase waits for.
func (l *Lease) enterPhase(e *streamEntry, p phase, kind RequestKind, r Record) {
	e.phase = p
	e.requestID = l.sendRequest(e, kind, r)
}

// handleReply passes a reply to the handler of the phase that waits for it. A reply that no phase waits for
// is ignored.
func (l *Lease) handleReply(r Reply) {
	e := l.pendingRequests[r.RequestID]
	if e == nil {
		return
	}
	delete(l.pendingRequests, r.RequestID)
	switch {
	case r.RequestID == e.updateRequestID:
		l.handleUpdateReply(e, r)
	case r.RequestID != e.requestID:
	case e.phase == phaseReadingRecord:
		l.handleReadReply(e, r)
	case e.phase == phaseAcquiring:
		l.handleAcquireReply(e, r)
	case e.phase == phaseCheckingHolder:
		l.handleCheckReply(e, r)
	case e.phase == phaseDeletingHolder:
		l.handleDeleteReply(e, r)
	}
}

// handleTick rejects callers whose deadline has passed, and continues acquisitions and checks that had to
// wait.
func (l *Lease) handleTick() {
	late := func(e *streamEntry) bool { return l.pendingResumes[e.callerHandle] == e && l.now >= e.deadline }
	canStart := func(e *streamEntry) bool { return e.phase == phaseWaitingForService && l.canAcquire() }
	// An earlier check failed, so the owner of the holder is still unknown.
	needsCheck := func(e *streamEntry) bool { return e.phase == phaseHolderUncertain && l.connected }
	due := l.entriesWhere(func(e *streamEntry) bool { return late(e) || canStart(e) || needsCheck(e) })
	for _, e := range due {
		switch {
		case late(e):
			l.reject(e, ErrTimedOut)
		case canStart(e):
			l.startAcquisition(e)
		case needsCheck(e):
			l.enterPhase(e, phaseCheckingHolder, CheckHolder, Record{})
		}
	}
}
