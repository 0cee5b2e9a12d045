// Package recorder takes records of what a relay is told and decides, for whoever looks at them later. To put one
// never blocks and allocates nothing; what finds no room is dropped and counted.
package recorder

import (
	"sync"

	"capersail/decide"
)

// Kind says what a record is of.
type Kind uint8

// The kinds.
const (
	List    Kind = iota + 1 // the list says something new of a server
	NoList                  // the list is out of reach
	Probe                   // a probe has ended
	Place                   // an attempt goes out
	Up                      // an attempt's connection stands
	End                     // an attempt, or the connection that came of it, has ended
	Move                    // a client is sent away
	Refuse                  // a request is refused
	Fail                    // a request fails
	Delay                   // a message took long
	Told                    // a reading of another relay is gone by: Took is its age
	Dropped                 // records were dropped here
)

func (k Kind) String() string {
	return [...]string{"", "list", "no list", "probe", "place", "up", "end", "move", "refuse", "fail", "delay", "told", "dropped"}[min(k, Dropped)]
}

// By says who ended a connection or caused a move.
type By uint8

// Who.
const (
	Nobody   By = iota
	Server      // the server
	Client      // the client
	Module      // the decision module
	Leaving     // this relay leaves
	Silence     // its server brings nothing back
	Claim       // its claim may be lost
	Door        // the bound on descriptors
	Late        // the backstop behind the module
	Operator    // by hand: a drain, or a server taken out
)

func (b By) String() string {
	return [...]string{"", "server", "client", "module", "leaving", "silence", "claim", "door", "late", "operator"}[min(b, Operator)]
}

// Peer is one other server that a placement could have gone to.
type Peer struct {
	Server int32
	Load   float32
	AgeMs  float32
	Cold   bool
}

// Peers is how many of a placement's pool are kept.
const Peers = 4

// Record is one thing that happened. Fields that its kind has no use for are zero; loads that were not told are
// negative.
type Record struct {
	At      float64 // milliseconds of the relay's clock
	Request uint64
	Took    float64 // ms: of a set-up, a probe, a message
	Since   float64 // with List: when the server says it started, on the relay's clock, 0 for long ago
	Server  int32   // number in the relay's roster, -1 for none
	Count   uint32  // with Dropped
	Load    float32
	Queue   float32
	Errors  float32
	Kind    Kind
	Status  decide.Status
	Mode    decide.EndpointState
	Why     decide.RejectReason
	By      By
	Attempt uint8 // from 0
	WasUp   bool  // with End: the connection stood
	Inside  uint8 // how many of Pool are set
	Pool    [Peers]Peer
}

// Tap is a bounded buffer of records, for many writers and one reader.
type Tap struct {
	mu        sync.Mutex
	buf       []Record
	dropped   uint32
	droppedAt float64
	ready     chan struct{}
}

// New returns a Tap that keeps so many records until they are taken.
func New(capacity int) *Tap {
	return &Tap{buf: make([]Record, 0, capacity), ready: make(chan struct{}, 1)}
}

// Put adds a record.
func (t *Tap) Put(r *Record) {
	t.mu.Lock()
	if len(t.buf) < cap(t.buf) {
		t.buf = append(t.buf, *r)
	} else {
		t.dropped++
		t.droppedAt = r.At
	}
	full := len(t.buf) == cap(t.buf)/2
	t.mu.Unlock()
	if full { // the reader looks by itself now and then; this is for a burst
		select {
		case t.ready <- struct{}{}:
		default:
		}
	}
}

// Ready gets a token when half of the room is taken.
func (t *Tap) Ready() <-chan struct{} { return t.ready }

// Take returns all records put since the last call, with one of the kind Dropped at the end if there was no room
// for some. spare, a slice from an earlier call or nil, takes the buffer's place.
func (t *Tap) Take(spare []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	got := t.buf
	if cap(spare) < cap(got)-1 {
		spare = make([]Record, 0, cap(got))
	}
	t.buf = spare[:0]
	if t.dropped > 0 {
		got = append(got, Record{At: t.droppedAt, Kind: Dropped, Server: -1, Count: t.dropped})
		t.dropped = 0
	}
	return got
}
