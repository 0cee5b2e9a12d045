// Package recorder takes records of what a relay is told and decides, for whoever looks at them later. To put one
// never blocks and allocates nothing; what finds no room is dropped and counted.
package recorder

import (
	"sync"
)

// Recorder is a bounded buffer of records, for many writers and one reader.
type Recorder struct {
	mu        sync.Mutex
	records   []Record
	dropped   uint32
	droppedAt float64
	ready     chan struct{}
}

// New returns a Tap that keeps so many records until they are taken.
func New(capacity int) *Recorder {
	return &Recorder{records: make([]Record, 0, capacity), ready: make(chan struct{}, 1)}
}

// Put adds a record.
func (t *Recorder) Put(r *Record) {
	t.mu.Lock()
	if len(t.records) < cap(t.records) {
		t.records = append(t.records, *r)
	} else {
		t.dropped++
		t.droppedAt = r.At
	}
	full := len(t.records) == cap(t.records)/2
	t.mu.Unlock()
	if full { // the reader looks by itself now and then; this is for a burst
		select {
		case t.ready <- struct{}{}:
		default:
		}
	}
}

// Ready gets a token when half of the room is taken.
func (t *Recorder) Ready() <-chan struct{} { return t.ready }

// TakeAll returns all records put since the last call, with one of the kind Dropped at the end if there was no room
// for some. spare, a slice from an earlier call or nil, takes the buffer's place.
func (t *Recorder) TakeAll(spare []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	got := t.records
	if cap(spare) < cap(got)-1 {
		spare = make([]Record, 0, cap(got))
	}
	t.records = spare[:0]
	if t.dropped > 0 {
		got = append(got, Record{At: t.droppedAt, Kind: RecordsDropped, Server: -1, Count: t.dropped})
		t.dropped = 0
	}
	return got
}
