package store

import (
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// ScanFunc takes a row of a scan, whose value is valid only during the call. It returns false to end the
// scan.
type ScanFunc func(atMs int64, id string, value []byte) bool

// Scan calls fn with each row of a bucket whose time lies in [fromMs, toMs], in order of time, until it
// returns false. Rows that are queued are not among them. The value is valid only during the call. A bucket
// that does not exist has no rows; a file that is not open is ErrNotOpen.
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
