package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

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
