package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	bolt "go.etcd.io/bbolt"
)

// countRows returns the number of rows of a bucket in the file.
func countRows(t *testing.T, s *Store, bucket string) (n int) {
	t.Helper()
	if err := s.Scan(bucket, 0, 1<<60, func(int64, string, []byte) bool { n++; return true }); err != nil {
		t.Fatal(err)
	}
	return n
}

// openStore opens a store without running it, and closes it when the test ends.
func openStore(t *testing.T, path string, o Options) *Store {
	t.Helper()
	s, err := Open(path, o, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// Rows are read in order of time, then of id; a row with the same time and id as an earlier one replaces it.
func TestRowsAreReadInOrderOfTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s := openStore(t, path, Options{})
	for i := range 100 {
		s.Append("steps", int64(i), fmt.Sprint("s", i%3), []byte{byte(i)})
	}
	s.Append("steps", 7, "s1", []byte("over"))
	s.PutState("state", "list", []byte("x"))
	s.writeQueue()
	if n := countRows(t, s, "steps"); n != 100 {
		t.Errorf("got %d rows, want 100", n)
	}
	var got []string
	s.Scan("steps", 6, 8, func(at int64, id string, v []byte) bool {
		got = append(got, fmt.Sprint(at, id, string(v) == "over"))
		return true
	})
	if fmt.Sprint(got) != "[6s0false 7s1true 8s2false]" {
		t.Error("wrong rows in scan of times 6 to 8:", got)
	}
	if v, err := s.GetState("state", "list"); string(v) != "x" || err != nil {
		t.Errorf("got state %q, error %v, want x", v, err)
	}
}

// Guards against the loss of earlier rows after a torn write, as when the power fails during a transaction. A
// file with any prefix of the last transaction's bytes, data pages first, then the meta page, must open with
// the rows of the transaction before, or of both.
func TestTornWriteLosesNoEarlierTransaction(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.db")
	s := openStore(t, path, Options{})
	for i := range 300 {
		s.Append("rows", int64(i), "a", bytes.Repeat([]byte{1}, 40))
	}
	s.writeQueue()
	before, _ := os.ReadFile(path)
	for i := range 50 {
		s.Append("rows", int64(1000+i), "b", bytes.Repeat([]byte{2}, 40))
	}
	s.writeQueue()
	after, _ := os.ReadFile(path)
	s.Close()
	page := os.Getpagesize()
	torn := make([]byte, len(after))
	copy(torn, before)
	check := func(name string, full bool) {
		p := filepath.Join(dir, "torn.db")
		os.WriteFile(p, torn, 0o600)
		s, err := Open(p, Options{}, zerolog.Nop())
		if err != nil {
			t.Fatalf("%s: store does not open: %v", name, err)
		}
		defer s.Close()
		if n := countRows(t, s, "rows"); n != 300 && n != 350 || full && n != 350 {
			t.Fatalf("%s: got %d rows, want 300 or 350, all 350 in the complete file", name, n)
		}
	}
	cuts := 0
	for at := 2 * page; at < len(after); at++ {
		if torn[at] == after[at] {
			continue
		}
		torn[at] = after[at]
		if cuts++; cuts%64 == 1 {
			check(fmt.Sprint("data pages written up to byte ", at), false)
		}
	}
	for at := range 2 * page {
		if torn[at] != after[at] {
			torn[at] = after[at]
			check(fmt.Sprint("meta page written up to byte ", at), false)
			cuts++
		}
	}
	check("whole", true)
	if cuts < 100 {
		t.Errorf("only %d bytes differ between the transactions, want at least 100", cuts)
	}
}

// A file that is in use by another process, damaged or of a newer version is rejected with an error that
// tells which.
func TestUnusableFilesAreRejected(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.db")
	s := openStore(t, path, Options{})
	for i := range 1000 {
		s.Append("rows", int64(i), "a", bytes.Repeat([]byte{1}, 100))
	}
	s.writeQueue()
	_, err := Open(path, Options{}, zerolog.Nop())
	if !errors.Is(err, ErrInUse) || !strings.Contains(err.Error(), path) {
		t.Errorf("file in use: got error %v, want ErrInUse with the path", err)
	}
	s.Close()
	good, _ := os.ReadFile(path)
	for _, k := range []struct {
		name string
		text []byte
		want error
	}{
		{"cut in half", good[:len(good)/2], ErrDamaged},
		{"cut to a page", good[:4096], ErrDamaged},
		{"nothing but text", []byte(strings.Repeat("not a store\n", 2000)), ErrDamaged},
		{"a few bytes", []byte("x"), ErrDamaged},
	} {
		os.WriteFile(path, k.text, 0o600)
		if _, err := Open(path, Options{}, zerolog.Nop()); !errors.Is(err, k.want) {
			t.Errorf("%s: got error %v, want ErrDamaged", k.name, err)
		}
	}
	os.WriteFile(path, good, 0o600)
	db, _ := bolt.Open(path, 0o600, nil)
	db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(metaBucket).Put(versionKey, []byte{FormatVersion + 1})
	})
	db.Close()
	if _, err := Open(path, Options{}, zerolog.Nop()); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("file of a newer version: got error %v, want ErrNewerVersion", err)
	}
}

// While the file cannot be opened, rows wait in a bounded queue. They are written once it can be opened.
func TestRowsWaitForADisk(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	s, err := Open(filepath.Join(dir, "s.db"), Options{MaxQueuedRows: 10}, zerolog.Nop())
	if err == nil {
		t.Fatal("store opened in a folder that does not exist")
	}
	for i := range 25 {
		s.Append("rows", int64(i), "a", nil)
	}
	s.writeQueue()
	if s.WriteError() == nil || s.DroppedRows() != 15 {
		t.Errorf("got write error %v and %d dropped rows, want an error and 15", s.WriteError(),
			s.DroppedRows())
	}
	os.Mkdir(dir, 0o700)
	if err := s.open(); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.writeQueue()
	if n := countRows(t, s, "rows"); n != 10 || s.WriteError() != nil {
		t.Errorf("got %d rows, write error %v, want 10 rows and no error", n, s.WriteError())
	}
}

// Rows older than MaxAge are removed, and the oldest rows if the file is larger than MaxBytes. State is kept.
func TestAgeAndSizeAreBounded(t *testing.T) {
	byAge := Options{MaxAge: 500 * time.Millisecond, MaxQueuedRows: 1 << 20}
	s := openStore(t, filepath.Join(t.TempDir(), "s.db"), byAge)
	for i := range 2000 {
		s.Append("rows", int64(i), "a", nil)
	}
	s.PutState("state", "kept", []byte{1})
	s.writeQueue()
	if n := countRows(t, s, "rows"); n != 501 {
		t.Errorf("got %d rows within 500 ms of the newest, want 501", n)
	}
	if v, _ := s.GetState("state", "kept"); v == nil {
		t.Error("state was removed by the age limit")
	}
	s = openStore(t, filepath.Join(t.TempDir(), "s.db"), Options{MaxBytes: 1 << 20, MaxQueuedRows: 1 << 20})
	for i := range 100 {
		for j := range 100 {
			s.Append("rows", int64(i*100+j), "a", bytes.Repeat([]byte{1}, 1000))
		}
		s.writeQueue()
	}
	if info, _ := os.Stat(s.path); info.Size() > 4<<20 {
		t.Errorf("file has %d bytes after 10 MB of rows, want at most 4 MiB", info.Size())
	}
	last := int64(0)
	s.Scan("rows", 0, 1<<60, func(at int64, _ string, _ []byte) bool { last = at; return true })
	if last != 9999 {
		t.Errorf("the newest row has time %d, want 9999", last)
	}
}

// Run writes the queued rows before it returns, so that a graceful shutdown loses no row.
func TestRunWritesTheRestAtItsEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.db")
	s, err := Open(path, Options{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	s.Append("rows", 1, "a", nil)
	s.Flush()
	if n := countRows(t, s, "rows"); n != 1 {
		t.Errorf("got %d rows after Flush, want 1", n)
	}
	s.Append("rows", 2, "a", nil)
	stop()
	<-ended
	if n := countRows(t, openStore(t, path, Options{ReadOnly: true}), "rows"); n != 2 {
		t.Errorf("got %d rows after Run has returned, want 2", n)
	}
}
