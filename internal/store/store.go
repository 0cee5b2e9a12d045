// Package store keeps rows that outlive a process, on an embedded database (bbolt). Whoever appends never waits for
// a disk: one goroutine writes what has come, in one transaction a second. A disk that is full, read-only or missing
// is said once and tried again; meanwhile rows wait in a bounded queue, and what finds no room is counted.
//
// After kill -9 at most the last second is lost. A transaction is there whole or not at all.
package store

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
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

var (
	metaBucket = []byte("meta")
	versionKey = []byte("version")
)

func openFile(path string, readOnly bool) (*bolt.DB, error) {
	if err := checkComplete(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	case errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) || errors.Is(err, bolterrors.ErrVersionMismatch):
		return nil, fmt.Errorf("%s: %w: %w", path, ErrDamaged, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	check := func(tx *bolt.Tx) error {
		if b := tx.Bucket(metaBucket); b != nil {
			if v := b.Get(versionKey); len(v) == 1 && v[0] > FormatVersion {
				return fmt.Errorf("%s: %w (%d; this is %d)", path, ErrNewer, v[0], FormatVersion)
			}
		}
		return nil
	}
	if err = db.View(check); err == nil && !readOnly {
		err = db.Update(func(tx *bolt.Tx) error {
			b, err := tx.CreateBucketIfNotExists(metaBucket)
			if err != nil {
				return err
			}
			return b.Put(versionKey, []byte{FormatVersion})
		})
	}
	if err != nil {
		db.Close()
		return nil, err
	}
	return db, nil
}

// checkComplete tells whether a file has all pages that its newest valid meta page counts. bbolt would map it all the same,
// and the first look at a page that is not there ends the process.
func checkComplete(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	// A meta page: 16 bytes of page header, then magic, version, page size, flags (4 each), root (16), freelist,
	// pages, transaction and checksum (8 each).
	head := make([]byte, 80)
	if _, err := f.ReadAt(head, 0); err != nil {
		return fmt.Errorf("%w: %d bytes", ErrDamaged, info.Size())
	}
	size := int64(binary.LittleEndian.Uint32(head[24:]))
	if size < 512 || size > 1<<16 {
		size = int64(os.Getpagesize())
	}
	pages, newest := uint64(0), uint64(0)
	for i := range int64(2) {
		m := make([]byte, 80)
		if _, err := f.ReadAt(m, i*size); err != nil {
			return fmt.Errorf("%w: %d bytes", ErrDamaged, info.Size())
		}
		if tx := binary.LittleEndian.Uint64(m[64:]); binary.LittleEndian.Uint64(m[72:]) == metaChecksum(m[16:72]) && tx >= newest {
			newest, pages = tx, binary.LittleEndian.Uint64(m[56:])
		}
	}
	if int64(pages)*size > info.Size() {
		return fmt.Errorf("%w: %d pages, and room for %d", ErrDamaged, pages, info.Size()/size)
	}
	return nil
}

// metaChecksum is what bbolt's meta pages are checked by.
func metaChecksum(p []byte) uint64 {
	h := fnv.New64a()
	h.Write(p)
	return h.Sum64()
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

// Run writes until the context ends, then writes what is left and closes the file.
func (s *Store) Run(ctx context.Context) {
	tick := time.NewTicker(writeInterval)
	defer tick.Stop()
	tried := time.Now()
	for {
		var done chan struct{}
		select {
		case <-ctx.Done():
			s.writeQueue()
			s.closeFile()
			return
		case done = <-s.flushRequests:
		case <-tick.C:
		}
		if s.database() == nil && time.Since(tried) >= reopenInterval {
			tried = time.Now()
			if err := s.open(); err == nil {
				s.log.Info().Str("store", s.path).Msg("store is open again")
			}
		}
		s.writeQueue()
		if done != nil {
			close(done)
		}
	}
}

func (s *Store) database() *bolt.DB {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.db
}

// Flush waits until what was appended before it is written, or cannot be. Run must be running.
func (s *Store) Flush() {
	done := make(chan struct{})
	s.flushRequests <- done
	<-done
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

// writeQueue writes the queue in one transaction. Rows whose transaction fails go back to its front.
func (s *Store) writeQueue() {
	s.mu.Lock()
	db, rows, newest := s.db, s.queue, s.newestMs
	s.queue = nil
	s.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	err := ErrDamaged
	if db != nil {
		err = db.Update(func(tx *bolt.Tx) error {
			for _, r := range rows {
				b, err := tx.CreateBucketIfNotExists([]byte(r.bucket))
				if err != nil {
					return err
				}
				if err := b.Put(r.key, r.value); err != nil {
					return err
				}
			}
			return s.enforceBounds(tx, newest)
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.writeErr
	switch {
	case err == nil:
		s.writeErr = nil
		if was != nil {
			s.log.Info().Str("store", s.path).Uint64("dropped", s.dropped).Msg("store is written again")
		}
	default:
		if db != nil {
			s.writeErr = fmt.Errorf("%s: %w", s.path, err)
		}
		if was == nil {
			s.log.Error().Err(s.writeErr).Msg("store cannot be written; going on in memory")
		}
		s.queue = append(rows, s.queue...)
		if over := len(s.queue) - s.MaxQueue; over > 0 {
			s.queue = s.queue[over:]
			s.dropped += uint64(over)
		}
	}
}

// enforceBounds removes rows that are too old, and the oldest where the file is too large.
func (s *Store) enforceBounds(tx *bolt.Tx, newest int64) error {
	old := rowKey(newest-s.MaxAge.Milliseconds(), "")
	over := s.MaxBytes > 0 && tx.Size()-int64(tx.DB().Stats().FreePageN*tx.DB().Info().PageSize) > s.MaxBytes
	return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
		if name[0] == '=' || bytes.Equal(name, metaBucket) {
			return nil
		}
		most := 0
		if over {
			most = min(maxRemovedPerTx, b.Stats().KeyN/evictionDivisor+1)
		}
		c, n := b.Cursor(), 0
		for k, _ := c.First(); k != nil && n < maxRemovedPerTx && (n < most || s.MaxAge > 0 && bytes.Compare(k, old) < 0); k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
			n++
		}
		return nil
	})
}

// Scan calls fn with each row of a bucket whose time lies in [from, to], in order of time, until it returns false.
// Rows that are queued are not among them. The value is good only during the call.
func (s *Store) Scan(bucket string, from, to int64, fn func(at int64, id string, value []byte) bool) error {
	db := s.database()
	if db == nil {
		return fmt.Errorf("%s: not open", s.path)
	}
	return db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		if b == nil {
			return nil
		}
		c := b.Cursor()
		for k, v := c.Seek(rowKey(from, "")); len(k) >= 8; k, v = c.Next() {
			at := int64(binary.BigEndian.Uint64(k))
			if at > to || !fn(at, string(k[8:]), v) {
				return nil
			}
		}
		return nil
	})
}

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
