package store

import (
	"encoding/binary"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

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
