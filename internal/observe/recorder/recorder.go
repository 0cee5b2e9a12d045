// Package recorder takes records of what a relay learns and decides, for whoever reads them later.
//
// It owns the records' form and the buffer between the relay, which puts them, and package observe/watch,
// which takes them. To put one never blocks and allocates nothing; what does not fit is dropped and counted.
package recorder

import (
	"sync"
	"time"
)

// Recorder is a bounded buffer of records, for many writers and one reader.
type Recorder struct {
	mu        sync.Mutex
	records   []Record
	dropped   uint32
	droppedAt time.Duration // the newest of them
	halfFull  chan struct{}
}

// New returns a Recorder that keeps so many records until they are taken.
func New(capacity int) *Recorder {
	return &Recorder{
		records:  make([]Record, 0, capacity),
		halfFull: make(chan struct{}, 1),
	}
}

// Put adds a copy of a record.
func (r *Recorder) Put(x *Record) {
	r.mu.Lock()
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, *x)
	} else {
		r.dropped++
		r.droppedAt = x.At
	}
	halfFull := len(r.records) == cap(r.records)/2
	r.mu.Unlock()
	if !halfFull { // the reader takes records by itself now and then; waking it is for a burst
		return
	}
	select {
	case r.halfFull <- struct{}{}:
	default:
	}
}

// Ready receives a value when the buffer is half full.
func (r *Recorder) Ready() <-chan struct{} { return r.halfFull }

// TakeAll returns all records put since the last call, with a RecordsDropped at the end if some did not
// fit. spare, a slice from an earlier call or nil, takes the buffer's place.
func (r *Recorder) TakeAll(spare []Record) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.records
	if cap(spare) < cap(taken)-1 {
		spare = make([]Record, 0, cap(taken))
	}
	r.records = spare[:0]
	if r.dropped > 0 {
		taken = append(taken, Record{At: r.droppedAt, Kind: RecordsDropped, Server: -1, Count: r.dropped})
		r.dropped = 0
	}
	return taken
}
