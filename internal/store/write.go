package store

import (
	"bytes"
	"context"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

const (
	writeInterval  = time.Second
	reopenInterval = 5 * time.Second
	// evictionDivisor: when the file is over MaxBytes, each bucket's oldest rows go, one in so many.
	evictionDivisor = 10
	// maxRemovedPerTx rows of a bucket are removed in one transaction, so that it stays short.
	maxRemovedPerTx = 20_000
	// statePrefix marks buckets whose values have no age: they are never evicted.
	statePrefix = '='
)

// Run writes until the context ends, then writes what is left and closes the file.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	reopenedAt := time.Now()
	for {
		var flushed chan struct{}
		select {
		case <-ctx.Done():
			s.writeQueue()
			s.Close()
			return
		case flushed = <-s.flushRequests:
		case <-ticker.C:
		}
		if s.database() == nil && time.Since(reopenedAt) >= reopenInterval {
			reopenedAt = time.Now()
			if err := s.open(); err == nil {
				s.log.Info().Str("store", s.path).Msg("store reopened")
			}
		}
		s.writeQueue()
		if flushed != nil {
			close(flushed)
		}
	}
}

// Flush waits until what was appended before it is written, or cannot be. Run must be running.
func (s *Store) Flush() {
	flushed := make(chan struct{})
	s.flushRequests <- flushed
	<-flushed
}

// writeQueue writes the queue in one transaction. Rows whose transaction fails go back to its front.
func (s *Store) writeQueue() {
	s.mu.Lock()
	db, rows, newestMs := s.db, s.queue, s.newestMs
	s.queue = nil
	s.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	if db == nil { // writeErr says why, since open
		s.requeue(rows)
		return
	}
	err := db.Update(func(tx *bolt.Tx) error {
		if err := putRows(tx, rows); err != nil {
			return err
		}
		return s.enforceBounds(tx, newestMs)
	})
	if err != nil {
		s.writeFailed(err)
		s.requeue(rows)
		return
	}
	s.writeSucceeded()
}

func putRows(tx *bolt.Tx, rows []row) error {
	for _, r := range rows {
		b, err := tx.CreateBucketIfNotExists([]byte(r.bucket))
		if err != nil {
			return err
		}
		if err := b.Put(r.key, r.value); err != nil {
			return err
		}
	}
	return nil
}

// requeue puts rows back to the front of the queue; the oldest are dropped where it is full.
func (s *Store) requeue(rows []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(rows, s.queue...)
	if over := len(s.queue) - s.MaxQueuedRows; over > 0 {
		s.queue = s.queue[over:]
		s.dropped += uint64(over)
	}
}

// writeFailed notes why rows cannot be written, and logs it the first time.
func (s *Store) writeFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.writeErr
	s.writeErr = fmt.Errorf("%s: %w", s.path, err)
	if before == nil {
		s.log.Error().Err(s.writeErr).
			Msg("store write failed, rows are kept in memory and retried: check the disk")
	}
}

// writeSucceeded notes that rows can be written, and logs it if they could not be.
func (s *Store) writeSucceeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		s.log.Info().Str("store", s.path).Uint64("dropped", s.dropped).Msg("store write recovered")
	}
	s.writeErr = nil
}

// enforceBounds removes rows that are older than MaxAge, and the oldest of each bucket where the file is over
// MaxBytes.
func (s *Store) enforceBounds(tx *bolt.Tx, newestMs int64) error {
	oldest := rowKey(newestMs-s.MaxAge.Milliseconds(), "")
	free := int64(tx.DB().Stats().FreePageN * tx.DB().Info().PageSize)
	tooLarge := s.MaxBytes > 0 && tx.Size()-free > s.MaxBytes
	return tx.ForEach(func(name []byte, b *bolt.Bucket) error {
		if name[0] == statePrefix || bytes.Equal(name, metaBucket) {
			return nil
		}
		evicted := 0
		if tooLarge {
			evicted = min(maxRemovedPerTx, b.Stats().KeyN/evictionDivisor+1)
		}
		return removeOldest(b, func(key []byte, removed int) bool {
			return removed < evicted || s.MaxAge > 0 && bytes.Compare(key, oldest) < 0
		})
	})
}

// removeOldest removes a bucket's rows from the oldest on, while goes says so, and no more than
// maxRemovedPerTx.
func removeOldest(b *bolt.Bucket, goes func(key []byte, removed int) bool) error {
	c := b.Cursor()
	for removed := range maxRemovedPerTx {
		key, _ := c.First()
		if key == nil || !goes(key, removed) {
			return nil
		}
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
