// Package recorder buffers records of what a relay observes and decides.
//
// It owns the format of the records and the buffer between the relay, which adds records, and package
// observe/watch, which takes them. Adding a record never waits for the reader and allocates nothing; a record
// that does not fit is dropped and counted.
package recorder

import (
	"sync"
	"time"
)

// Recorder is a bounded buffer of records with many writers and one reader.
type Recorder struct {
	mu         sync.Mutex
	records    []Record
	dropped    uint32
	droppedAt  time.Duration // instant of the newest dropped record
	wakeReader chan struct{}
}

// New returns a Recorder that holds at most capacity records until they are taken.
func New(capacity int) *Recorder {
	return &Recorder{
		records:    make([]Record, 0, capacity),
		wakeReader: make(chan struct{}, 1),
	}
}

// Put adds a copy of a record, or counts it as dropped if the buffer is full.
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
	if !halfFull { // wake the reader in a burst only: it also takes records at regular intervals
		return
	}
	select {
	case r.wakeReader <- struct{}{}:
	default:
	}
}

// Ready receives a value when the buffer is half full.
func (r *Recorder) Ready() <-chan struct{} { return r.wakeReader }

// TakeAll returns all records added since the last call, followed by a RecordsDropped record if some did not
// fit. The slice spare, nil or the result of an earlier call, becomes the new buffer.
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
