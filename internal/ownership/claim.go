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
	Drift = 1.0 / 20 // by how much a relay's clock may run slower than the service's
	Grace = 1500.0
	// MinSession is the shortest session that leaves time to serve: a ping goes out each third of it.
	MinSession = 4000.0
)

// Record is what the service keeps of a stream.
type Record struct {
	Generation uint64 // of the newest service
	Floor      uint64 // tokens of an earlier generation are behind: a later one is known to have arrived
	Expires    int64  // Unix ms; after this no token of the stream is good
}

// Kind is what is asked of the service.
type Kind uint8

// The requests to the service. Holder is the ephemeral node under a stream's record.
const (
	Read   Kind = iota // the record and its version
	Make               // in one: create the record, create the holder
	Take               // in one: set the record if it has Version, create the holder
	Look               // who owns the holder, after a sync
	Delete             // the holder
	Raise              // set the record if it has Version
)

// Code is how a request to the service ended.
type Code uint8

// The codes.
const (
	OK         Code = iota
	NoNode          // the record, or with Look and Delete the holder, is not there
	Exists          // the holder, or with Make the record, is there already
	BadVersion      // another has changed the record meanwhile
	Lost            // no answer: it may have been done, or may not
	Other           // refused for a reason that says nothing of the claim
)

// Why a want is refused.
type Why uint8

// The reasons. After Held, Unreachable and Slow the token stays good.
const (
	Held        Why = iota // it is served, or being taken on, elsewhere or here
	Behind                 // a later token is known to have arrived
	Unknown                // the service has no such record, or none of that generation
	Unreachable            // the service cannot be asked now
	Slow                   // no answer in time
)

// Event is something a Keeper is told.
type Event interface{ event() }

type (
	// Want asks for a stream. It gets one Won or one Refused, but for a new stream that waits for the service.
	Want struct {
		Handle     uint64 // never used twice
		Stream     token.StreamID
		Generation uint64  // of the token; 0 for a new stream, which is never refused for want of the service
		Until      float64 // when it is refused at the latest
		Expires    int64   // for the record
	}
	// Drop says that the caller has done with a handle: its last connection to a server is closed.
	Drop struct{ Handle uint64 }
	// Confirm says that the client has the token of the generation that it was given, and moves the record's end.
	Confirm struct {
		Handle  uint64
		Arrived bool
		Expires int64
	}
	// Connected says that a session stands, a new one or one taken up again, by a request sent at At.
	Connected struct {
		Session int64
		Granted float64
		At      float64
	}
	// Disconnected says that no answers come. Every request without an answer has been replied to with Lost.
	Disconnected struct{}
	// Expired says that the service has forgotten the session, and its nodes with it.
	Expired struct{}
	// Proven says that something sent at At was answered.
	Proven struct{ At float64 }
	// Reply answers an Ask.
	Reply struct {
		Ask     uint64
		Code    Code
		Version int32  // of the record after the request
		Record  Record // with Read
		Owner   int64  // with Look: the session that owns the holder
	}
	// Tick says that time has passed; see Next.
	Tick struct{}
)

func (Want) event()         {}
func (Drop) event()         {}
func (Confirm) event()      {}
func (Connected) event()    {}
func (Disconnected) event() {}
func (Expired) event()      {}
func (Proven) event()       {}
func (Reply) event()        {}
func (Tick) event()         {}

// Action is something a Keeper wants done.
type Action interface{ action() }

type (
	// Ask is a request to the service. Requests are sent in the order in which they are asked.
	Ask struct {
		No      uint64
		Kind    Kind
		Stream  token.StreamID
		Version int32
		Record  Record
	}
	// Won says that the stream is the caller's, in this generation, until it drops it or it lapses.
	Won struct{ Handle, Generation uint64 }
	// Refused says that it is not. After is when to come again, 0 if that would not help.
	Refused struct {
		Handle uint64
		Why    Why
		After  float64
	}
	// Lapsed says that the claim may be lost: the stream is to be ended within Grace, then dropped.
	Lapsed struct{ Handle uint64 }
	// Released says that a dropped claim is another's to win.
	Released struct{ Handle uint64 }
)

func (Ask) action()      {}
func (Won) action()      {}
func (Refused) action()  {}
func (Lapsed) action()   {}
func (Released) action() {}

// phase is where a stream stands.
type phase uint8

const (
	waiting  phase = iota // a new stream, for the service to be reachable
	reading               // Read is out
	taking                // Make or Take is out
	doubtful              // the holder may exist and be ours: to be looked at once connected
	looking               // Look is out
	held                  // ours
	lapsed                // may be lost; its caller is ending it
	ghost                 // surely lost; its caller is ending it
	deleting              // Delete is out
)

type entry struct {
	stream   token.StreamID
	phase    phase
	handle   uint64 // of the caller, 0 if there is none any more
	dropped  uint64 // of the caller that waits to hear that it is released
	answered bool   // the caller has its Won or Refused
	token    uint64 // generation of the caller's token
	until    float64
	expires  int64
	made     bool // a new stream's Make was sent: its record may exist
	adopted  bool // the Take that is out was for an earlier caller, whose token was another
	ask      uint64
	version  int32
	record   Record

	raise  uint64 // the Read or Raise that moves the record's floor and end, 0 if none is out
	wanted Record // what the record is to become, if it differs
	sent   Record // what the Raise that is out makes of it
	blind  bool   // the version is not known: read it first
}

// Keeper is one relay's claims. It is not safe for concurrent use.
type Keeper struct {
	rng     *rand.Rand
	streams map[token.StreamID]*entry
	handles map[uint64]*entry
	asks    map[uint64]*entry
	open    map[uint64]*entry // the callers whose patience can end
	lastAsk uint64

	margin    float64 // Grace, but for the test that a shorter one is found out
	session   int64
	granted   float64
	proven    float64
	connected bool
	now       float64
	out       []Action
}

// New returns a Keeper without a session.
func New(seed uint64) *Keeper {
	return &Keeper{margin: Grace, rng: rand.New(rand.NewPCG(seed, 0x636c61696d)), streams: map[token.StreamID]*entry{},
		handles: map[uint64]*entry{}, asks: map[uint64]*entry{},
		open: map[uint64]*entry{}}
}

// Until is when the claims are no longer to be trusted; 0 if there are none to trust.
func (k *Keeper) Until() float64 {
	if k.session == 0 {
		return 0
	}
	return k.proven + k.granted*(1-Drift) - k.margin
}

// Held is how many streams are this relay's now, and Streams how many it knows of in any state.
func (k *Keeper) Held() (n int) {
	for _, e := range k.streams {
		if e.phase == held {
			n++
		}
	}
	return n
}

// Streams is how many streams the Keeper knows of in any state.
func (k *Keeper) Streams() int { return len(k.streams) }

// Next is when a Tick is due at the latest: when the claims lapse or a caller's patience ends.
func (k *Keeper) Next() float64 {
	next := k.now + 250
	if u := k.Until(); u > k.now {
		next = min(next, u)
	}
	for _, e := range k.open {
		if e.until > k.now {
			next = min(next, e.until)
		}
	}
	return next
}

// Handle takes one event and appends what is to be done about it to out.
func (k *Keeper) Handle(now float64, ev Event, out []Action) []Action {
	k.now, k.out = now, out
	// A clock that jumped, or a process that slept: what has lapsed meanwhile lapses before anything else, but
	// news of the session itself is older than the sleep and is taken first.
	switch e := ev.(type) {
	case Proven:
		k.proven = max(k.proven, e.At)
	case Connected:
		if e.Session == k.session {
			k.proven = max(k.proven, e.At)
		}
	}
	k.lapse()
	switch e := ev.(type) {
	case Want:
		k.want(e)
	case Drop:
		k.drop(e.Handle)
	case Confirm:
		k.confirm(e)
	case Connected:
		k.begin(e)
	case Disconnected:
		k.connected = false
	case Expired:
		k.expire()
	case Reply:
		k.reply(e)
	case Tick:
		k.tick()
	}
	return k.out
}

// usable tells whether a claim that is won now could be trusted.
func (k *Keeper) usable() bool { return k.connected && k.now < k.Until() }

func (k *Keeper) do(a Action) { k.out = append(k.out, a) }

// send asks the service for something about an entry's stream.
func (k *Keeper) send(e *entry, kind Kind, r Record) uint64 {
	k.lastAsk++
	k.asks[k.lastAsk] = e
	k.do(Ask{No: k.lastAsk, Kind: kind, Stream: e.stream, Version: e.version, Record: r})
	return k.lastAsk
}

// step sends the request of an entry's next phase.
func (k *Keeper) step(e *entry, p phase, kind Kind, r Record) {
	e.phase = p
	e.ask = k.send(e, kind, r)
}

func (k *Keeper) want(w Want) {
	e := k.streams[w.Stream]
	switch {
	case w.Generation != 0 && !k.usable():
		k.do(Refused{w.Handle, Unreachable, k.later(Unreachable)})
		return
	case e != nil && e.handle != 0, e != nil && (e.phase == lapsed || e.phase == ghost):
		k.do(Refused{w.Handle, Held, k.later(Held)})
		return
	case e == nil:
		e = &entry{stream: w.Stream, phase: waiting}
		k.streams[w.Stream] = e
	}
	// An entry without a caller is one whose node is being deleted or looked at: the new caller waits for that.
	e.handle, e.answered, e.token, e.until, e.expires, e.made = w.Handle, false, w.Generation, w.Until, w.Expires, false
	k.handles[w.Handle] = e
	if w.Generation != 0 {
		k.open[w.Handle] = e
	}
	e.adopted = e.phase == taking
	if e.phase == waiting {
		k.start(e)
	}
}

// start takes on a stream that nothing is out for.
func (k *Keeper) start(e *entry) {
	switch {
	case !k.usable():
		e.phase = waiting
	case e.token == 0 && !e.made:
		e.made = true
		e.record = Record{Generation: 1, Expires: e.expires}
		k.step(e, taking, Make, e.record)
	default:
		k.step(e, reading, Read, Record{})
	}
}

// later is when to come again. Nobody is told a time beyond the session in which a dead relay's claim ends,
// and the times are spread, as a dead relay's streams all come at once.
func (k *Keeper) later(w Why) float64 {
	switch w {
	case Held:
		return max(100, k.granted/8) * (1 + k.rng.Float64())
	case Unreachable, Slow:
		return 500 * (1 + 2*k.rng.Float64())
	}
	return 0
}

// refuse answers the caller and lets it go. What was made for it is cleaned up by the entry.
func (k *Keeper) refuse(e *entry, handle uint64, why Why) {
	if !e.answered {
		k.do(Refused{handle, why, k.later(why)})
	}
	k.part(e)
	if e.phase == waiting {
		k.remove(e)
	}
}

// part separates an entry from its caller.
func (k *Keeper) part(e *entry) {
	delete(k.handles, e.handle)
	delete(k.open, e.handle)
	e.handle, e.answered = 0, false
}

func (k *Keeper) remove(e *entry) {
	if k.streams[e.stream] == e {
		delete(k.streams, e.stream)
	}
	if e.handle != 0 {
		k.part(e)
	}
}

func (k *Keeper) drop(handle uint64) {
	e := k.handles[handle]
	if e == nil {
		k.do(Released{handle})
		return
	}
	p := e.phase
	k.part(e)
	switch p {
	case waiting, ghost:
		k.remove(e)
		k.do(Released{handle})
	case held, lapsed:
		e.dropped = handle
		if k.connected {
			k.step(e, deleting, Delete, Record{})
		} else {
			e.phase = doubtful
		}
	default: // a request is out: its answer will find no caller
		k.do(Released{handle})
	}
}

func (k *Keeper) confirm(c Confirm) {
	e := k.handles[c.Handle]
	if e == nil || e.phase != held {
		return
	}
	if c.Arrived {
		e.wanted.Floor = e.record.Generation
	}
	e.wanted.Generation, e.wanted.Expires = e.record.Generation, max(e.wanted.Expires, c.Expires)
	k.raise(e)
}

// raise writes the record anew if it is to change. The relay that holds a stream is the only one that writes
// its record, so the version is known unless an answer was lost.
func (k *Keeper) raise(e *entry) {
	switch {
	case e.raise != 0 || e.phase != held || !k.connected || e.wanted == e.record:
	case e.blind:
		e.raise = k.send(e, Read, Record{})
	default:
		e.sent = e.wanted
		e.raise = k.send(e, Raise, e.sent)
	}
}

func (k *Keeper) raised(e *entry, r Reply) {
	wasRead := e.blind
	e.raise = 0
	if e.phase != held {
		return
	}
	switch {
	case r.Code == OK && wasRead:
		e.blind, e.version, e.record = false, r.Version, r.Record
		e.wanted.Floor = max(e.wanted.Floor, r.Record.Floor)
	case r.Code == OK:
		e.version, e.record = r.Version, e.sent
	case r.Code == Lost, r.Code == BadVersion:
		e.blind = true
		if !k.connected || r.Code == Lost {
			return // once connected
		}
	default:
		return // tried again with the next Confirm
	}
	k.raise(e)
}

// begin takes up a session. With a new one nothing of the old stands; with the same one what is in doubt is
// looked at first.
func (k *Keeper) begin(c Connected) {
	if c.Session != k.session {
		k.expire()
	}
	if k.session == 0 {
		k.proven = c.At
	}
	k.session, k.granted, k.connected = c.Session, c.Granted, true
	for _, e := range k.sorted(every) {
		switch e.phase {
		case doubtful:
			k.step(e, looking, Look, Record{})
		case waiting:
			k.start(e)
		case held:
			k.raise(e)
		}
	}
}

// tick answers callers whose patience is over, and goes on with what had to wait.
func (k *Keeper) tick() {
	over := func(e *entry) bool { return k.open[e.handle] == e && k.now >= e.until }
	waits := func(e *entry) bool { return e.phase == waiting && k.usable() }
	unsaid := func(e *entry) bool { return e.phase == doubtful && k.connected } // the service had refused to say
	for _, e := range k.sorted(func(e *entry) bool { return over(e) || waits(e) || unsaid(e) }) {
		switch {
		case over(e):
			k.refuse(e, e.handle, Slow)
		case waits(e):
			k.start(e)
		case unsaid(e):
			k.step(e, looking, Look, Record{})
		}
	}
}

func every(*entry) bool { return true }

// sorted lists the entries that are wanted in one order, so that a Keeper with the same past does the same.
func (k *Keeper) sorted(wanted func(*entry) bool) (all []*entry) {
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

// lapse ends the trust in all claims whose time is over.
func (k *Keeper) lapse() {
	if k.session == 0 || k.now < k.Until() {
		return
	}
	for _, e := range k.sorted(every) {
		if e.phase == held {
			e.phase = lapsed
			k.do(Lapsed{e.handle})
		}
	}
}

// expire forgets the session. Its nodes are gone, or were never made.
func (k *Keeper) expire() {
	k.session, k.connected = 0, false
	for _, e := range k.sorted(every) {
		switch e.phase {
		case held:
			e.phase = ghost
			k.do(Lapsed{e.handle})
		case lapsed:
			e.phase = ghost
		case ghost, waiting:
		default:
			delete(k.asks, e.ask) // an answer that still comes is the old session's
			k.free(e)
		}
	}
}

// free is for an entry whose node is surely not there: whoever waits goes on, else it is forgotten.
func (k *Keeper) free(e *entry) {
	if e.dropped != 0 {
		k.do(Released{e.dropped})
		e.dropped = 0
	}
	if e.handle == 0 {
		k.remove(e)
		return
	}
	k.start(e)
}

func (k *Keeper) reply(r Reply) {
	e := k.asks[r.Ask]
	if e == nil {
		return
	}
	delete(k.asks, r.Ask)
	if r.Ask == e.raise {
		k.raised(e, r)
		return
	}
	if r.Ask != e.ask {
		return
	}
	switch e.phase {
	case reading:
		k.read(e, r)
	case taking:
		k.took(e, r)
	case looking:
		switch {
		case r.Code == OK && r.Owner == k.session:
			k.step(e, deleting, Delete, Record{})
		case r.Code == OK || r.Code == NoNode:
			k.free(e)
		default:
			e.phase = doubtful
		}
	case deleting:
		if r.Code == OK || r.Code == NoNode {
			k.free(e)
		} else {
			e.phase = doubtful
		}
	}
}

func (k *Keeper) read(e *entry, r Reply) {
	switch {
	case e.handle == 0:
		k.remove(e)
	case r.Code == Lost && e.token == 0:
		e.phase = waiting
	case r.Code == Lost || r.Code == Other:
		k.end(e, Unreachable)
	case r.Code == NoNode && e.token == 0:
		e.made = false
		k.start(e)
	case r.Code == NoNode:
		k.end(e, Unknown)
	case e.token != 0 && e.token < r.Record.Floor:
		k.end(e, Behind)
	case e.token > r.Record.Generation:
		k.end(e, Unknown)
	default:
		e.version = r.Version
		next := r.Record
		next.Generation++
		next.Expires = max(next.Expires, e.expires)
		e.record = next
		k.step(e, taking, Take, next)
	}
}

// end refuses a caller whose stream nothing was made for.
func (k *Keeper) end(e *entry, why Why) {
	k.refuse(e, e.handle, why)
	k.remove(e)
}

func (k *Keeper) took(e *entry, r Reply) {
	orphan := e.handle == 0 || e.adopted
	e.adopted = false
	switch {
	case r.Code == Lost || r.Code == Other:
		e.phase = doubtful
	case r.Code != OK && orphan:
		k.free(e)
	case r.Code != OK && e.token == 0: // a new stream's record stands, by an answer that was lost
		k.start(e)
	case r.Code == NoNode:
		k.end(e, Unknown)
	case r.Code != OK:
		k.end(e, Held)
	case orphan:
		k.step(e, deleting, Delete, Record{})
	case !k.usable(): // an answer that took too long proves nothing of now
		if e.token != 0 {
			k.refuse(e, e.handle, Slow)
		}
		k.step(e, deleting, Delete, Record{})
	default:
		e.phase, e.version, e.answered, e.blind, e.raise = held, r.Version, true, false, 0
		e.wanted = e.record
		delete(k.open, e.handle)
		k.do(Won{e.handle, e.record.Generation})
	}
}

// Marshal writes a record as the service keeps it: a version byte, then big-endian numbers.
func (r Record) Marshal() []byte {
	b := append(make([]byte, 0, 25), 1)
	b = binary.BigEndian.AppendUint64(b, r.Generation)
	b = binary.BigEndian.AppendUint64(b, r.Floor)
	return binary.BigEndian.AppendUint64(b, uint64(r.Expires))
}

// ParseRecord reads a record; false if it is none of this version.
func ParseRecord(b []byte) (r Record, ok bool) {
	if len(b) != 25 || b[0] != 1 {
		return r, false
	}
	return Record{binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:]), int64(binary.BigEndian.Uint64(b[17:]))}, true
}
