package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is the longest wait for the file's lock. If another process holds it longer, opening the file
// fails with ErrInUse.
const lockTimeout = 200 * time.Millisecond

var (
	metaBucket = []byte("meta")
	versionKey = []byte("version")
)

// openFile opens the database and, unless readOnly is set, writes FormatVersion to it.
func openFile(path string, readOnly bool) (*bolt.DB, error) {
	if err := checkComplete(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	options := &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType}
	db, err := bolt.Open(path, 0o600, options)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, openError(err))
	}
	err = checkVersion(db)
	if err == nil && !readOnly {
		err = markVersion(db)
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// openError converts an error of bbolt to ErrInUse or ErrDamaged where it applies.
func openError(err error) error {
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return ErrInUse
	case errors.Is(err, bolterrors.ErrInvalid),
		errors.Is(err, bolterrors.ErrChecksum),
		errors.Is(err, bolterrors.ErrVersionMismatch):
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return err
}

func checkVersion(db *bolt.DB) error {
	return db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if b == nil {
			return nil
		}
		if v := b.Get(versionKey); len(v) == 1 && v[0] > FormatVersion {
			return fmt.Errorf("%w: file format %d, this program supports up to %d", ErrNewerVersion, v[0],
				FormatVersion)
		}
		return nil
	})
}

func markVersion(db *bolt.DB) error {
	return db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		return b.Put(versionKey, []byte{FormatVersion})
	})
}

// Layout of a bbolt meta page, with offsets in bytes: a page header of 16 bytes, then magic, version, page
// size and flags (4 bytes each), root (16), freelist, page count, transaction id and checksum (8 each). The
// first two pages of a file are meta pages.
const (
	metaLen             = 80
	metaChecksumStart   = 16
	metaPageSizeOffset  = 24
	metaPageCountOffset = 56
	metaTxIDOffset      = 64
	metaChecksumOffset  = 72

	minPageSize = 512
	maxPageSize = 1 << 16
)

// checkComplete returns ErrDamaged for a file that is shorter than the page count in its newest valid meta
// page. bbolt maps such a file without an error, and the first read of a missing page then ends the process.
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
	first, err := readMeta(f, 0)
	if err != nil {
		return fmt.Errorf("%w: %d bytes are too few for a database", ErrDamaged, info.Size())
	}
	pageSize := int64(binary.LittleEndian.Uint32(first[metaPageSizeOffset:]))
	if pageSize < minPageSize || pageSize > maxPageSize {
		pageSize = int64(os.Getpagesize())
	}
	second, err := readMeta(f, pageSize)
	if err != nil {
		return fmt.Errorf("%w: %d bytes are too few for a database", ErrDamaged, info.Size())
	}
	pages, newestTx := uint64(0), uint64(0)
	for _, meta := range [][]byte{first, second} {
		tx := binary.LittleEndian.Uint64(meta[metaTxIDOffset:])
		if validMeta(meta) && tx >= newestTx {
			newestTx, pages = tx, binary.LittleEndian.Uint64(meta[metaPageCountOffset:])
		}
	}
	if int64(pages)*pageSize > info.Size() {
		return fmt.Errorf("%w: %d pages expected, file has room for %d", ErrDamaged, pages,
			info.Size()/pageSize)
	}
	return nil
}

func readMeta(f io.ReaderAt, at int64) ([]byte, error) {
	meta := make([]byte, metaLen)
	_, err := f.ReadAt(meta, at)
	return meta, err
}

// validMeta reports whether the checksum of a meta page is correct.
func validMeta(meta []byte) bool {
	h := fnv.New64a()
	h.Write(meta[metaChecksumStart:metaChecksumOffset])
	return binary.LittleEndian.Uint64(meta[metaChecksumOffset:]) == h.Sum64()
}
