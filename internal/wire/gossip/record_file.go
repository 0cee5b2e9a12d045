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

// recordFile keeps a membership.Node's record in one file, written anew each time: to a second file, synced,
// then renamed. A lock on a file beside it keeps a second process of the relay from promising things too.
type recordFile struct {
	path, site, cell, name string
	lock                   *os.File
	inUse                  bool // another process of the relay has it
}

// storedRecord is the file: the record with whose it is, and a sum over it.
type storedRecord struct {
	Version int             `cbor:"1,keyasint"`
	Site    string          `cbor:"2,keyasint"`
	Name    string          `cbor:"3,keyasint"`
	Sum     uint32          `cbor:"4,keyasint"`
	Record  cbor.RawMessage `cbor:"5,keyasint"`
	Cell    string          `cbor:"6,keyasint,omitempty"` // "" in a flat fleet
}

const (
	recordVersion  = 1
	maxRecordBytes = 1 << 20
)

// errRecordInUse says that another process of the relay runs: in an upgrade, until it has left.
var errRecordInUse = errors.New("another process of this relay has it")

// errRecordUnusable says that there is a record, of which nothing can be known: what the relay has promised,
// perhaps.
var errRecordUnusable = errors.New("it cannot be used")

// openRecordFile reads the record; a file that is not there is that of a relay's first start. With an error
// the file is one in which nothing can be kept.
func openRecordFile(path, site, cell, name string) (*recordFile, membership.Record, error) {
	var rec membership.Record
	fail := func(err error) (*recordFile, membership.Record, error) {
		return &recordFile{}, rec, fmt.Errorf("state: %w", err)
	}
	lock, err := os.OpenFile(path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fail(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fail(fmt.Errorf("%s: %w", path, errRecordInUse))
	}
	d := &recordFile{path: path, site: site, cell: cell, name: name, lock: lock}
	rec, err = d.load()
	if err != nil {
		lock.Close()
		return fail(fmt.Errorf("%w: %w", errRecordUnusable, err))
	}
	return d, rec, nil
}

func (d *recordFile) load() (rec membership.Record, err error) {
	f, err := os.Open(d.path)
	if errors.Is(err, fs.ErrNotExist) {
		return rec, nil
	}
	if err != nil {
		return rec, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxRecordBytes))
	if err != nil {
		return rec, err
	}
	var k storedRecord
	if err := cbor.Unmarshal(text, &k); err != nil {
		return rec, fmt.Errorf("%s: not a record, or a torn one", d.path)
	}
	switch {
	case k.Version != recordVersion:
		return rec, fmt.Errorf("%s: version %d; this program writes %d", d.path, k.Version, recordVersion)
	case k.Site != d.site || k.Name != d.name:
		return rec, fmt.Errorf("%s: of %s at %s, not of %s at %s", d.path, k.Name, k.Site, d.name, d.site)
	case k.Cell != d.cell:
		return rec, fmt.Errorf("%s: of cell %q, not of cell %q; each cell has a record of its own",
			d.path, k.Cell, d.cell)
	case crc32.ChecksumIEEE(k.Record) != k.Sum:
		return rec, fmt.Errorf("%s: its sum does not fit", d.path)
	}
	if err := cbor.Unmarshal(k.Record, &rec); err != nil {
		return rec, fmt.Errorf("%s: %w", d.path, err)
	}
	for _, v := range []*membership.View{rec.View, rec.AcceptedView} {
		if v != nil {
			if err := v.Check(); err != nil {
				return rec, fmt.Errorf("%s: %w", d.path, err)
			}
		}
	}
	return rec, nil
}

// save keeps a record before it returns.
func (d *recordFile) save(rec membership.Record) error {
	if d.lock == nil {
		return errors.New("state: nothing can be kept")
	}
	body, err := cbor.Marshal(rec)
	if err != nil {
		return err
	}
	text, err := cbor.Marshal(storedRecord{
		Version: recordVersion,
		Site:    d.site,
		Cell:    d.cell,
		Name:    d.name,
		Sum:     crc32.ChecksumIEEE(body),
		Record:  body,
	})
	if err != nil {
		return err
	}
	if err := d.write(text); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	return nil
}

func (d *recordFile) write(text []byte) (err error) {
	f, err := os.OpenFile(d.path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(d.path+".new", d.path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(d.path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (d *recordFile) close() {
	if d.lock != nil {
		d.lock.Close()
	}
}
