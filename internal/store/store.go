package store

import (
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	bolt "go.etcd.io/bbolt"
)

// FormatVersion is the version of the file format. A file with a higher version is rejected.
const FormatVersion = 1

// defaultMaxQueuedRows is used where Options.MaxQueuedRows is 0.
const defaultMaxQueuedRows = 65536

// Reasons why a store file cannot be used.
var (
	ErrNewerVersion = errors.New("store file was written by a newer version")
	ErrInUse        = errors.New("store file is in use by another process")
	ErrDamaged      = errors.New("store file is damaged")
	ErrNotOpen      = errors.New("store file is not open")
)

// Options contains the limits and the mode of a Store.
type Options struct {
	MaxBytes      int64         // file size above which the oldest rows are removed; 0 for no limit
	MaxAge        time.Duration // age limit of rows, relative to the newest row; 0 for no limit
	MaxQueuedRows int           // limit of rows that wait to be written; 0 for 65536
	ReadOnly      bool
}

// row is a queued row.
type row struct {
	bucket string
	key    []byte
	value  []byte
}

// Store is a store in one file. Append, DroppedRows and WriteError never wait for the disk.
type Store struct {
	Options
	path string
	log  zerolog.Logger

	flushRequests chan chan struct{} // each is closed after the next attempt to write the queue

	mu       sync.Mutex
	db       *bolt.DB // nil while the file is not open
	queue    []row
	dropped  uint64 // rows dropped because the queue was full
	writeErr error
	newestMs int64 // time of the newest appended row
}

// Open opens a file or creates it. Errors name the file; ErrNewerVersion and ErrDamaged need an operator.
// With an error a Store is returned too, whose Run retries to open the file.
func Open(path string, o Options, log zerolog.Logger) (*Store, error) {
	if o.MaxQueuedRows == 0 {
		o.MaxQueuedRows = defaultMaxQueuedRows
	}
	s := &Store{Options: o, path: path, log: log, flushRequests: make(chan chan struct{})}
	return s, s.open()
}

func (s *Store) open() error {
	db, err := openFile(s.path, s.ReadOnly)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = err
	if err == nil {
		s.db = db
	}
	return err
}

// database returns the open database; nil while the file is not open.
func (s *Store) database() *bolt.DB {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db
}

// Close closes the file of a Store that is not running; Run closes the file itself. Further calls have no
// effect.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
}

// rowKey returns a row's key, which orders the rows of a bucket by time, then by id.
func rowKey(atMs int64, id string) []byte {
	key := make([]byte, 0, 8+len(id))
	key = binary.BigEndian.AppendUint64(key, uint64(atMs))
	return append(key, id...)
}

// Append queues a row with a time in ms. It replaces a row with the same bucket, time and id.
func (s *Store) Append(bucket string, atMs int64, id string, value []byte) {
	s.enqueue(row{bucket, rowKey(atMs, id), value}, atMs)
}

// enqueue queues a row. If the queue is full, it drops the oldest queued row.
func (s *Store) enqueue(r row, atMs int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestMs = max(s.newestMs, atMs)
	if len(s.queue) >= s.MaxQueuedRows {
		s.queue = append(s.queue[:0], s.queue[1:]...)
		s.dropped++
	}
	s.queue = append(s.queue, r)
}

// DroppedRows returns the number of rows that were dropped since the start because the queue was full.
func (s *Store) DroppedRows() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// WriteError returns the error because of which rows cannot be written now; nil if they can.
func (s *Store) WriteError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr
}
