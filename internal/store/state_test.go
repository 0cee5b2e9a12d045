package store

import (
	"bytes"
	"fmt"

	bolt "go.etcd.io/bbolt"
)

// PutState queues a value that is state, not history: it has no age. Nothing but tests writes any yet; a file may
// hold some, and the bounds pass them by.
func (s *Store) PutState(bucket, id string, value []byte) {
	s.enqueue(row{string(statePrefix) + bucket, []byte(id), value}, 0)
}

// GetState reads a value that was Put; nil if there is none.
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
