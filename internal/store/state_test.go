package store

import (
	"bytes"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// PutState queues a value of state, which has no time. Only tests write state so far, but a file may contain
// it, and the limits on age and size must not remove it.
func (s *Store) PutState(bucket, id string, value []byte) {
	s.enqueue(row{string(statePrefix) + bucket, []byte(id), value}, 0)
}

// GetState returns a value that PutState has written; nil if there is none.
func (s *Store) GetState(bucket, id string) (value []byte, err error) {
	db := s.database()
	if db == nil {
		return nil, fmt.Errorf("%s: %w", s.path, ErrNotOpen)
	}
	err = db.View(func(tx *bolt.Tx) error {
		if b := tx.Bucket([]byte(string(statePrefix) + bucket)); b != nil {
			value = bytes.Clone(b.Get([]byte(id)))
		}
		return nil
	})
	return value, err
}
