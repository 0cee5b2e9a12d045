// Package store keeps rows that outlive a process, on an embedded database (bbolt). Whoever appends never waits for
// a disk: one goroutine writes what has come, in one transaction a second. A disk that is full, read-only or missing
// is said once and tried again; meanwhile rows wait in a bounded queue, and what finds no room is counted.
//
// After kill -9 at most the last second is lost. A transaction is there whole or not at all.
package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	bolt "go.etcd.io/bbolt"
)

// FormatVersion is what this program writes. A file of a higher one is refused.
const FormatVersion = 1

const (
	writeInterval  = time.Second
	reopenInterval = 5 * time.Second
	lockTimeout    = 200 * time.Millisecond
	// evictionDivisor of the rows goes when the file is over its bound.
	evictionDivisor = 10
	// maxRemovedPerTx rows are removed in one transaction, so that it stays short.
	maxRemovedPerTx = 20_000
)

// Why a file cannot be used.
var (
	ErrNewer   = errors.New("written by a newer version")
	ErrInUse   = errors.New("in use by another process")
	ErrDamaged = errors.New("damaged")
)

// Options bound a store.
type Options struct {
	MaxBytes int64         // of the file; the oldest rows go beyond it
	MaxAge   time.Duration // of rows, by their own times against the newest
	MaxQueue int           // rows that wait to be written
	ReadOnly bool
}

// row is one row on its way to the file.
type row struct {
	bucket string
	key    []byte
	value  []byte // nil removes
}

// Store is one file. Append, Put and Remove never block.
type Store struct {
	Options
	path string
	log  zerolog.Logger

	mu            sync.Mutex
	db            *bolt.DB // nil while there is no file
	queue         []row
	dropped       uint64
	writeErr      error
	newestMs      int64
	flushRequests chan chan struct{}
}

// Open opens or makes a file. The error names it. ErrNewer and ErrDamaged want a person; after any error a Store
// that is Run goes on trying.
func Open(path string, o Options, log zerolog.Logger) (*Store, error) {
	if o.MaxQueue == 0 {
		o.MaxQueue = 65536
	}
	s := &Store{Options: o, path: path, log: log, flushRequests: make(chan chan struct{})}
	return s, s.open()
}

func (s *Store) open() error {
	db, err := openFile(s.path, s.ReadOnly)
	if err != nil {
		s.mu.Lock()
		s.writeErr = err
		s.mu.Unlock()
		return err
	}
	s.mu.Lock()
	s.db, s.writeErr = db, nil
	s.mu.Unlock()
	return nil
}

func rowKey(at int64, id string) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(id)), uint64(at)), id...)
}

// Append queues a row with a time in ms. One with the same bucket, time and id is written over.
func (s *Store) Append(bucket string, at int64, id string, value []byte) {
	s.enqueue(row{bucket, rowKey(at, id), value}, at)
}

// Put queues a value that is state, not history: it has no age.
func (s *Store) Put(bucket, id string, value []byte) {
	s.enqueue(row{"=" + bucket, []byte(id), value}, 0)
}

func (s *Store) enqueue(r row, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestMs = max(s.newestMs, at)
	if len(s.queue) >= s.MaxQueue {
		s.queue = append(s.queue[:0], s.queue[1:]...)
		s.dropped++
	}
	s.queue = append(s.queue, r)
}

// DroppedRows is how many rows found no room, and Failing why rows cannot be written now.
func (s *Store) DroppedRows() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// WriteError is why rows cannot be written now; nil if they can.
func (s *Store) WriteError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr
}

func (s *Store) database() *bolt.DB {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db
}

func (s *Store) closeFile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
}

// Close closes a file that is not Run.
func (s *Store) Close() { s.closeFile() }

// Get reads a value that was Put; nil if there is none.
func (s *Store) Get(bucket, id string) (value []byte, err error) {
	db := s.database()
	if db == nil {
		return nil, fmt.Errorf("%s: not open", s.path)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket([]byte("=" + bucket)); b != nil {
			value = bytes.Clone(b.Get([]byte(id)))
		}
		return nil
	})
	return value, err
}
