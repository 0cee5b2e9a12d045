package store

import (
	"encoding/binary"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	bolt "go.etcd.io/bbolt"
)

// FormatVersion is what this program writes. A file of a higher one is rejected.
const FormatVersion = 1

// defaultMaxQueuedRows is Options.MaxQueuedRows where that is 0.
const defaultMaxQueuedRows = 65536

// Why a file cannot be used.
var (
	ErrNewerVersion = errors.New("written by a newer version")
	ErrInUse        = errors.New("in use by another process")
	ErrDamaged      = errors.New("damaged")
	ErrNotOpen      = errors.New("not open")
)

// Options bound a store.
type Options struct {
	MaxBytes      int64         // of the file; the oldest rows go beyond it; 0 for no bound
	MaxAge        time.Duration // of rows, by their own times against the newest; 0 for no bound
	MaxQueuedRows int           // rows that wait to be written; 0 for 65536
	ReadOnly      bool
}

// row is one row on its way to the file.
type row struct {
	bucket string
	key    []byte
	value  []byte
}

// Store is one file. Append, DroppedRows and WriteError never wait for the disk.
type Store struct {
	Options
	path string
	log  zerolog.Logger

	flushRequests chan chan struct{} // each is closed once the queue was written, or could not be

	mu       sync.Mutex
	db       *bolt.DB // nil while there is no file
	queue    []row
	dropped  uint64 // rows dropped from a full queue
	writeErr error
	newestMs int64 // time of the newest row that was appended
}

// Open opens or makes a file. The error names it; ErrNewerVersion and ErrDamaged want a person. The Store is
// returned with an error too: one that is Run goes on trying.
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

// database is the open file; nil while there is none.
func (s *Store) database() *bolt.DB {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db
}

// Close closes a file that is not Run. A second call does nothing more.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db != nil {
		s.db.Close()
		s.db = nil
	}
}

// rowKey orders the rows of a bucket by time, then by id.
func rowKey(atMs int64, id string) []byte {
	key := make([]byte, 0, 8+len(id))
	key = binary.BigEndian.AppendUint64(key, uint64(atMs))
	return append(key, id...)
}

// Append queues a row with a time in ms. One with the same bucket, time and id is written over.
func (s *Store) Append(bucket string, atMs int64, id string, value []byte) {
	s.enqueue(row{bucket, rowKey(atMs, id), value}, atMs)
}

// enqueue queues a row, in place of the oldest that waits if the queue is full.
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

// DroppedRows is how many rows a full queue has dropped since the start.
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
