// Package ownership decides which relay may serve a stream now. A Keeper is one relay's part in that: it is fed
// events, takes time as an argument, returns actions, and does no I/O. What it asks of a claim service is
// what ZooKeeper gives: exclusive creation, ephemeral nodes that go with their session, versions, and several
// of these in one transaction. docs/design/resume.md has the reasons.
//
// All times are milliseconds of one relay's clock; no two relays' clocks are ever compared.
package ownership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"

	"capersail/internal/token"
)

// The margin. A service expires a session no sooner than its time-out, by its clock, after it last heard of
// it. A relay knows when it sent the last thing that was answered, which is no later. It stops trusting its
// claims at proven + session*(1-Drift) - Grace, so that all is over when another can win:
//
//	Grace = 1000 (a write to a stuck client, splice.WriteWithin) + 250 (between two looks) + 250 (to spare)
const (
	MaxClockDrift = 1.0 / 20 // by how much a relay's clock may run slower than the service's
	ExpiryMargin  = 1500.0
	// MinSessionTimeout is the shortest session that leaves time to serve: a ping goes out each third of it.
	MinSessionTimeout = 4000.0
)

// Record is what the service keeps of a stream.
type Record struct {
	FencingToken    uint64 // of the newest service
	MinFencingToken uint64 // tokens of an earlier generation are behind: a later one is known to have arrived
	ExpiresUnixMs   int64  // Unix ms; after this no token of the stream is good
}

// RequestKind is what is asked of the service.
type RequestKind uint8

// The requests to the service. Holder is the ephemeral node under a stream's record.
const (
	ReadRecord       RequestKind = iota // the record and its version
	CreateAndAcquire                    // in one: create the record, create the holder
	UpdateAndAcquire                    // in one: set the record if it has Version, create the holder
	CheckHolder                         // who owns the holder, after a sync
	DeleteHolder                        // the holder
	UpdateRecord                        // set the record if it has Version
)

// ReplyCode is how a request to the service ended.
type ReplyCode uint8

// The codes.
const (
	OK              ReplyCode = iota
	NotFound                  // the record, or with Look and Delete the holder, is not there
	AlreadyExists             // the holder, or with Make the record, is there already
	VersionMismatch           // another has changed the record meanwhile
	NoReply                   // no answer: it may have been done, or may not
	ServiceError              // refused for a reason that says nothing of the claim
)

// RejectReason a want is refused.
type RejectReason uint8

// The reasons. After Held, Unreachable and Slow the token stays good.
const (
	ErrAlreadyOwned       RejectReason = iota // it is served, or being taken on, elsewhere or here
	ErrStaleToken                             // a later token is known to have arrived
	ErrUnknownStream                          // the service has no such record, or none of that generation
	ErrServiceUnreachable                     // the service cannot be asked now
	ErrTimedOut                               // no answer in time
)

// Event is something a Keeper is told.
type Event interface{ event() }

type (
	// Acquire asks for a stream. It gets one Won or one Refused, but for a new stream that waits for the service.
	Acquire struct {
		Handle        uint64 // never used twice
		Stream        token.StreamID
		FencingToken  uint64  // of the token; 0 for a new stream, which is never refused for want of the service
		Deadline      float64 // when it is refused at the latest
		ExpiresUnixMs int64   // for the record
	}
	// Release says that the caller has done with a handle: its last connection to a server is closed.
	Release struct{ Handle uint64 }
	// ExtendRecord says that the client has the token of the generation that it was given, and moves the record's end.
	ExtendRecord struct {
		Handle         uint64
		TokenDelivered bool
		ExpiresUnixMs  int64
	}
	// SessionConnected says that a session stands, a new one or one taken up again, by a request sent at At.
	SessionConnected struct {
		SessionID int64
		Timeout   float64
		SentAt    float64
	}
	// SessionDisconnected says that no answers come. Every request without an answer has been replied to with Lost.
	SessionDisconnected struct{}
	// SessionExpired says that the service has forgotten the session, and its nodes with it.
	SessionExpired struct{}
	// Renewed says that something sent at At was answered.
	Renewed struct{ SentAt float64 }
	// Reply answers an Ask.
	Reply struct {
		RequestID    uint64
		Code         ReplyCode
		Version      int32  // of the record after the request
		Record       Record // with Read
		OwnerSession int64  // with Look: the session that owns the holder
	}
	// Tick says that time has passed; see Next.
	Tick struct{}
)

func (Acquire) event()             {}
func (Release) event()             {}
func (ExtendRecord) event()        {}
func (SessionConnected) event()    {}
func (SessionDisconnected) event() {}
func (SessionExpired) event()      {}
func (Renewed) event()             {}
func (Reply) event()               {}
func (Tick) event()                {}

// Action is something a Keeper wants done.
type Action interface{ action() }

type (
	// Request is a request to the service. Requests are sent in the order in which they are asked.
	Request struct {
		ID      uint64
		Kind    RequestKind
		Stream  token.StreamID
		Version int32
		Record  Record
	}
	// Acquired says that the stream is the caller's, in this generation, until it drops it or it lapses.
	Acquired struct{ Handle, FencingToken uint64 }
	// Rejected says that it is not. After is when to come again, 0 if that would not help.
	Rejected struct {
		Handle     uint64
		Reason     RejectReason
		RetryAfter float64
	}
	// LeaseExpired says that the claim may be lost: the stream is to be ended within Grace, then dropped.
	LeaseExpired struct{ Handle uint64 }
	// Released says that a dropped claim is another's to win.
	Released struct{ Handle uint64 }
)

func (Request) action()      {}
func (Acquired) action()     {}
func (Rejected) action()     {}
func (LeaseExpired) action() {}
func (Released) action()     {}

// phase is where a stream stands.
type phase uint8

const (
	waitingForService phase = iota // a new stream, for the service to be reachable
	readingRecord                  // Read is out
	acquiring                      // Make or Take is out
	uncertain                      // the holder may exist and be ours: to be looked at once connected
	checkingHolder                 // Look is out
	owned                          // ours
	expired                        // may be lost; its caller is ending it
	sessionLost                    // surely lost; its caller is ending it
	deletingHolder                 // Delete is out
)

type entry struct {
	stream         token.StreamID
	phase          phase
	handle         uint64 // of the caller, 0 if there is none any more
	releasing      uint64 // of the caller that waits to hear that it is released
	answered       bool   // the caller has its Won or Refused
	fencingToken   uint64 // generation of the caller's token
	deadline       float64
	expiresUnixMs  int64
	createSent     bool // a new stream's Make was sent: its record may exist
	callerReplaced bool // the Take that is out was for an earlier caller, whose token was another
	requestID      uint64
	version        int32
	record         Record

	updateID       uint64 // the Read or Raise that moves the record's floor and end, 0 if none is out
	desired        Record // what the record is to become, if it differs
	updateSent     Record // what the Raise that is out makes of it
	versionUnknown bool   // the version is not known: read it first
}

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

func (k *Lease) acquire(w Acquire) {
	e := k.streams[w.Stream]
	switch {
	case w.FencingToken != 0 && !k.canAcquire():
		k.emit(Rejected{w.Handle, ErrServiceUnreachable, k.retryAfter(ErrServiceUnreachable)})
		return
	case e != nil && e.handle != 0, e != nil && (e.phase == expired || e.phase == sessionLost):
		k.emit(Rejected{w.Handle, ErrAlreadyOwned, k.retryAfter(ErrAlreadyOwned)})
		return
	case e == nil:
		e = &entry{stream: w.Stream, phase: waitingForService}
		k.streams[w.Stream] = e
	}
	// An entry without a caller is one whose node is being deleted or looked at: the new caller waits for that.
	e.handle, e.answered, e.fencingToken, e.deadline, e.expiresUnixMs, e.createSent = w.Handle, false, w.FencingToken, w.Deadline, w.ExpiresUnixMs, false
	k.byHandle[w.Handle] = e
	if w.FencingToken != 0 {
		k.undecided[w.Handle] = e
	}
	e.callerReplaced = e.phase == acquiring
	if e.phase == waitingForService {
		k.startAcquisition(e)
	}
}

// startAcquisition takes on a stream that nothing is out for.
func (k *Lease) startAcquisition(e *entry) {
	switch {
	case !k.canAcquire():
		e.phase = waitingForService
	case e.fencingToken == 0 && !e.createSent:
		e.createSent = true
		e.record = Record{FencingToken: 1, ExpiresUnixMs: e.expiresUnixMs}
		k.enterPhase(e, acquiring, CreateAndAcquire, e.record)
	default:
		k.enterPhase(e, readingRecord, ReadRecord, Record{})
	}
}

// retryAfter is when to come again. Nobody is told a time beyond the session in which a dead relay's claim ends,
// and the times are spread, as a dead relay's streams all come at once.
func (k *Lease) retryAfter(w RejectReason) float64 {
	switch w {
	case ErrAlreadyOwned:
		return max(100, k.sessionTimeout/8) * (1 + k.rng.Float64())
	case ErrServiceUnreachable, ErrTimedOut:
		return 500 * (1 + 2*k.rng.Float64())
	}
	return 0
}

// reject answers the caller and lets it go. What was made for it is cleaned up by the entry.
func (k *Lease) reject(e *entry, handle uint64, why RejectReason) {
	if !e.answered {
		k.emit(Rejected{handle, why, k.retryAfter(why)})
	}
	k.detachCaller(e)
	if e.phase == waitingForService {
		k.removeEntry(e)
	}
}

// detachCaller separates an entry from its caller.
func (k *Lease) detachCaller(e *entry) {
	delete(k.byHandle, e.handle)
	delete(k.undecided, e.handle)
	e.handle, e.answered = 0, false
}

func (k *Lease) removeEntry(e *entry) {
	if k.streams[e.stream] == e {
		delete(k.streams, e.stream)
	}
	if e.handle != 0 {
		k.detachCaller(e)
	}
}

func (k *Lease) release(handle uint64) {
	e := k.byHandle[handle]
	if e == nil {
		k.emit(Released{handle})
		return
	}
	p := e.phase
	k.detachCaller(e)
	switch p {
	case waitingForService, sessionLost:
		k.removeEntry(e)
		k.emit(Released{handle})
	case owned, expired:
		e.releasing = handle
		if k.connected {
			k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
		} else {
			e.phase = uncertain
		}
	default: // a request is out: its answer will find no caller
		k.emit(Released{handle})
	}
}

func (k *Lease) extendRecord(c ExtendRecord) {
	e := k.byHandle[c.Handle]
	if e == nil || e.phase != owned {
		return
	}
	if c.TokenDelivered {
		e.desired.MinFencingToken = e.record.FencingToken
	}
	e.desired.FencingToken, e.desired.ExpiresUnixMs = e.record.FencingToken, max(e.desired.ExpiresUnixMs, c.ExpiresUnixMs)
	k.updateRecord(e)
}

// updateRecord writes the record anew if it is to change. The relay that holds a stream is the only one that writes
// its record, so the version is known unless an answer was lost.
func (k *Lease) updateRecord(e *entry) {
	switch {
	case e.updateID != 0 || e.phase != owned || !k.connected || e.desired == e.record:
	case e.versionUnknown:
		e.updateID = k.sendRequest(e, ReadRecord, Record{})
	default:
		e.updateSent = e.desired
		e.updateID = k.sendRequest(e, UpdateRecord, e.updateSent)
	}
}

func (k *Lease) recordUpdated(e *entry, r Reply) {
	wasRead := e.versionUnknown
	e.updateID = 0
	if e.phase != owned {
		return
	}
	switch {
	case r.Code == OK && wasRead:
		e.versionUnknown, e.version, e.record = false, r.Version, r.Record
		e.desired.MinFencingToken = max(e.desired.MinFencingToken, r.Record.MinFencingToken)
	case r.Code == OK:
		e.version, e.record = r.Version, e.updateSent
	case r.Code == NoReply, r.Code == VersionMismatch:
		e.versionUnknown = true
		if !k.connected || r.Code == NoReply {
			return // once connected
		}
	default:
		return // tried again with the next Confirm
	}
	k.updateRecord(e)
}

// sessionConnected takes up a session. With a new one nothing of the old stands; with the same one what is in doubt is
// looked at first.
func (k *Lease) sessionConnected(c SessionConnected) {
	if c.SessionID != k.sessionID {
		k.endSession()
	}
	if k.sessionID == 0 {
		k.renewedAt = c.SentAt
	}
	k.sessionID, k.sessionTimeout, k.connected = c.SessionID, c.Timeout, true
	for _, e := range k.entriesWhere(anyEntry) {
		switch e.phase {
		case uncertain:
			k.enterPhase(e, checkingHolder, CheckHolder, Record{})
		case waitingForService:
			k.startAcquisition(e)
		case owned:
			k.updateRecord(e)
		}
	}
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

func anyEntry(*entry) bool { return true }

// entriesWhere lists the entries that are wanted in one order, so that a Keeper with the same past does the same.
func (k *Lease) entriesWhere(wanted func(*entry) bool) (all []*entry) {
	for _, e := range k.streams {
		if wanted(e) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return slices.Compare(a.stream[:], b.stream[:])
	})
	return all
}

// expireLease ends the trust in all claims whose time is over.
func (k *Lease) expireLease() {
	if k.sessionID == 0 || k.now < k.ValidUntil() {
		return
	}
	for _, e := range k.entriesWhere(anyEntry) {
		if e.phase == owned {
			e.phase = expired
			k.emit(LeaseExpired{e.handle})
		}
	}
}

// endSession forgets the session. Its nodes are gone, or were never made.
func (k *Lease) endSession() {
	k.sessionID, k.connected = 0, false
	for _, e := range k.entriesWhere(anyEntry) {
		switch e.phase {
		case owned:
			e.phase = sessionLost
			k.emit(LeaseExpired{e.handle})
		case expired:
			e.phase = sessionLost
		case sessionLost, waitingForService:
		default:
			delete(k.pending, e.requestID) // an answer that still comes is the old session's
			k.holderGone(e)
		}
	}
}

// holderGone is for an entry whose node is surely not there: whoever waits goes on, else it is forgotten.
func (k *Lease) holderGone(e *entry) {
	if e.releasing != 0 {
		k.emit(Released{e.releasing})
		e.releasing = 0
	}
	if e.handle == 0 {
		k.removeEntry(e)
		return
	}
	k.startAcquisition(e)
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

func (k *Lease) recordRead(e *entry, r Reply) {
	switch {
	case e.handle == 0:
		k.removeEntry(e)
	case r.Code == NoReply && e.fencingToken == 0:
		e.phase = waitingForService
	case r.Code == NoReply || r.Code == ServiceError:
		k.rejectAndRemove(e, ErrServiceUnreachable)
	case r.Code == NotFound && e.fencingToken == 0:
		e.createSent = false
		k.startAcquisition(e)
	case r.Code == NotFound:
		k.rejectAndRemove(e, ErrUnknownStream)
	case e.fencingToken != 0 && e.fencingToken < r.Record.MinFencingToken:
		k.rejectAndRemove(e, ErrStaleToken)
	case e.fencingToken > r.Record.FencingToken:
		k.rejectAndRemove(e, ErrUnknownStream)
	default:
		e.version = r.Version
		next := r.Record
		next.FencingToken++
		next.ExpiresUnixMs = max(next.ExpiresUnixMs, e.expiresUnixMs)
		e.record = next
		k.enterPhase(e, acquiring, UpdateAndAcquire, next)
	}
}

// rejectAndRemove refuses a caller whose stream nothing was made for.
func (k *Lease) rejectAndRemove(e *entry, why RejectReason) {
	k.reject(e, e.handle, why)
	k.removeEntry(e)
}

func (k *Lease) acquisitionReplied(e *entry, r Reply) {
	orphan := e.handle == 0 || e.callerReplaced
	e.callerReplaced = false
	switch {
	case r.Code == NoReply || r.Code == ServiceError:
		e.phase = uncertain
	case r.Code != OK && orphan:
		k.holderGone(e)
	case r.Code != OK && e.fencingToken == 0: // a new stream's record stands, by an answer that was lost
		k.startAcquisition(e)
	case r.Code == NotFound:
		k.rejectAndRemove(e, ErrUnknownStream)
	case r.Code != OK:
		k.rejectAndRemove(e, ErrAlreadyOwned)
	case orphan:
		k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	case !k.canAcquire(): // an answer that took too long proves nothing of now
		if e.fencingToken != 0 {
			k.reject(e, e.handle, ErrTimedOut)
		}
		k.enterPhase(e, deletingHolder, DeleteHolder, Record{})
	default:
		e.phase, e.version, e.answered, e.versionUnknown, e.updateID = owned, r.Version, true, false, 0
		e.desired = e.record
		delete(k.undecided, e.handle)
		k.emit(Acquired{e.handle, e.record.FencingToken})
	}
}

// Marshal writes a record as the service keeps it: a version byte, then big-endian numbers.
func (r Record) Marshal() []byte {
	b := append(make([]byte, 0, 25), 1)
	b = binary.BigEndian.AppendUint64(b, r.FencingToken)
	b = binary.BigEndian.AppendUint64(b, r.MinFencingToken)
	return binary.BigEndian.AppendUint64(b, uint64(r.ExpiresUnixMs))
}

// ParseRecord reads a record; false if it is none of this version.
func ParseRecord(b []byte) (r Record, ok bool) {
	if len(b) != 25 || b[0] != 1 {
		return r, false
	}
	return Record{binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:]), int64(binary.BigEndian.Uint64(b[17:]))}, true
}
