package store

import (
	"bytes"
	"context"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
)

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

// Flush waits until what was appended before it is written, or cannot be. Run must be running.
func (s *Store) Flush() {
	done := make(chan struct{})
	s.flushRequests <- done
	<-done
}

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
