package store

import (
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// ScanFunc is called for each row of a scan. The value is valid only during the call. It returns false to end
// the scan.
type ScanFunc func(atMs int64, id string, value []byte) bool

// Scan calls fn for each row of a bucket with a time in [fromMs, toMs], in order of time, until fn returns
// false. Rows that are still queued are not included. The value is valid only during the call. A bucket that
// does not exist has no rows. If the file is not open, Scan returns ErrNotOpen.
func (s *Store) Scan(bucket string, fromMs, toMs int64, fn ScanFunc) error {
	db := s.database()
	if db == nil {
		return fmt.Errorf("%s: %w", s.path, ErrNotOpen)
	}
	return db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		if b == nil {
			return nil
		}
		c := b.Cursor()
		for key, value := c.Seek(rowKey(fromMs, "")); len(key) >= 8; key, value = c.Next() {
			atMs := int64(binary.BigEndian.Uint64(key))
			if atMs > toMs || !fn(atMs, string(key[8:]), value) {
				return nil
			}
		}
		return nil
	})
}
