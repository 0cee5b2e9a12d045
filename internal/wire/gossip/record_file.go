package gossip

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// recordFile stores a membership.Node's record in a file. Each save writes a second file, syncs it and
// renames it over the first, so that the file is always complete. A lock on another file beside it prevents a
// second process of the relay from voting at the same time.
type recordFile struct {
	path, site, cell, name string
	lock                   *os.File
	inUse                  bool // whether another process of the relay holds the lock
}

// storedRecord is the file format: the record, the relay that it belongs to, and the record's checksum.
type storedRecord struct {
	Version  int             `cbor:"1,keyasint"`
	Site     string          `cbor:"2,keyasint"`
	Name     string          `cbor:"3,keyasint"`
	Checksum uint32          `cbor:"4,keyasint"`
	Record   cbor.RawMessage `cbor:"5,keyasint"`
	Cell     string          `cbor:"6,keyasint,omitempty"` // "" in a flat fleet
}

const (
	recordVersion  = 1
	maxRecordBytes = 1 << 20
)

// errRecordInUse is the error if another process of this relay holds the lock, as happens during an upgrade
// until the old process exits.
var errRecordInUse = errors.New("locked by another process of this relay")

// errRecordUnusable is the error for an existing record that cannot be read or belongs to another relay. What
// this relay has promised is then unknown.
var errRecordUnusable = errors.New("record unusable")

// openRecordFile locks and reads the record. If the file does not exist, this is the relay's first start and
// the record is empty. If there is an error, the returned recordFile rejects all saves.
func openRecordFile(path, site, cell, name string) (*recordFile, membership.Record, error) {
	var rec membership.Record
	fail := func(err error) (*recordFile, membership.Record, error) {
		return &recordFile{}, rec, fmt.Errorf("state file: %w", err)
	}
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fail(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fail(fmt.Errorf("%s: %w", path, errRecordInUse))
	}
	r := &recordFile{path: path, site: site, cell: cell, name: name, lock: lock}
	rec, err = r.load()
	if err != nil {
		lock.Close()
		return fail(fmt.Errorf("%w: %w", errRecordUnusable, err))
	}
	return r, rec, nil
}

func (r *recordFile) load() (rec membership.Record, err error) {
	f, err := os.Open(r.path)
	if errors.Is(err, fs.ErrNotExist) {
		return rec, nil
	}
	if err != nil {
		return rec, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxRecordBytes))
	if err != nil {
		return rec, err
	}
	var stored storedRecord
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return rec, fmt.Errorf("%s: not a membership record, or torn by an incomplete write", r.path)
	}
	switch {
	case stored.Version != recordVersion:
		return rec, fmt.Errorf("%s: record has version %d; this program supports version %d",
			r.path, stored.Version, recordVersion)
	case stored.Site != r.site || stored.Name != r.name:
		return rec, fmt.Errorf("%s: record of relay %s at site %s, not of relay %s at site %s",
			r.path, stored.Name, stored.Site, r.name, r.site)
	case stored.Cell != r.cell:
		return rec, fmt.Errorf("%s: record of cell %q, not of cell %q; each cell needs its own state file",
			r.path, stored.Cell, r.cell)
	case crc32.ChecksumIEEE(stored.Record) != stored.Checksum:
		return rec, fmt.Errorf("%s: checksum of the record does not match", r.path)
	}
	if err := cbor.Unmarshal(stored.Record, &rec); err != nil {
		return rec, fmt.Errorf("%s: %w", r.path, err)
	}
	for _, v := range []*membership.View{rec.View, rec.AcceptedView} {
		if v != nil {
			if err := v.Check(); err != nil {
				return rec, fmt.Errorf("%s: %w", r.path, err)
			}
		}
	}
	return rec, nil
}

// save writes a record to disk. When it returns without an error, the record is durable.
func (r *recordFile) save(rec membership.Record) error {
	if r.lock == nil {
		return errors.New("state file: not open, record cannot be stored")
	}
	body, err := cbor.Marshal(rec)
	if err != nil {
		return err
	}
	data, err := cbor.Marshal(storedRecord{
		Version:  recordVersion,
		Site:     r.site,
		Cell:     r.cell,
		Name:     r.name,
		Checksum: crc32.ChecksumIEEE(body),
		Record:   body,
	})
	if err != nil {
		return err
	}
	if err := r.write(data); err != nil {
		return fmt.Errorf("state file: %w", err)
	}
	return nil
}

func (r *recordFile) write(data []byte) (err error) {
	f, err := os.OpenFile(r.path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(r.path+".new", r.path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(r.path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (r *recordFile) close() {
	if r.lock != nil {
		r.lock.Close()
	}
}
