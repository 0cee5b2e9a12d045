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
	// evictionDivisor: if the file is larger than MaxBytes, the oldest 1/evictionDivisor of the rows of each
	// bucket is evicted.
	evictionDivisor = 10
	// maxRemovedPerTx is the maximum number of rows removed from a bucket in one transaction, which keeps the
	// transaction short.
	maxRemovedPerTx = 20_000
	// statePrefix marks buckets with state, whose values have no time and are never evicted.
	statePrefix = '='
)

// Run writes queued rows until the context ends, then writes the remaining rows and closes the file.
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

// Flush waits until one write of all rows appended before has succeeded or failed. Run must be running.
func (s *Store) Flush() {
	flushed := make(chan struct{})
	s.flushRequests <- flushed
	<-flushed
}

// writeQueue writes the queued rows in one transaction. If it fails, the rows are put back at the front of
// the queue.
func (s *Store) writeQueue() {
	s.mu.Lock()
	db, rows, newestMs := s.db, s.queue, s.newestMs
	s.queue = nil
	s.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	if db == nil { // open has set writeErr
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

// requeue puts rows back at the front of the queue and drops the oldest rows that exceed its limit.
func (s *Store) requeue(rows []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(rows, s.queue...)
	if over := len(s.queue) - s.MaxQueuedRows; over > 0 {
		s.queue = s.queue[over:]
		s.dropped += uint64(over)
	}
}

// writeFailed notes the error because of which rows cannot be written. It logs the first of successive
// errors.
func (s *Store) writeFailed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.writeErr
	s.writeErr = fmt.Errorf("%s: %w", s.path, err)
	if previous == nil {
		s.log.Error().Err(s.writeErr).
			Msg("store write failed, rows are kept in memory and retried: check the disk of the store file")
	}
}

// writeSucceeded notes that rows can be written, and logs it after a failure.
func (s *Store) writeSucceeded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		s.log.Info().Str("store", s.path).Uint64("dropped", s.dropped).Msg("store write recovered")
	}
	s.writeErr = nil
}

// enforceBounds removes rows that are older than MaxAge, and the oldest rows of each bucket if the file is
// larger than MaxBytes.
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

// removeOldest removes rows from a bucket, oldest first, while shouldRemove returns true, up to
// maxRemovedPerTx.
func removeOldest(b *bolt.Bucket, shouldRemove func(key []byte, removed int) bool) error {
	c := b.Cursor()
	for removed := range maxRemovedPerTx {
		key, _ := c.First()
		if key == nil || !shouldRemove(key, removed) {
			return nil
		}
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
