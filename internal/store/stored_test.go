package store

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/rs/zerolog"
)

// storedFile returns the path of a copy of testdata/v1.db, which the version of 2026-12-03 wrote.
func storedFile(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("testdata/v1.db")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "v1.db")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// storedRows are the rows of testdata/v1.db by bucket, in order of time, then of id.
var storedRows = map[string][]string{
	"steps": {`0 "" ""`, `1800000000000 "s1" "one"`, `1800000000000 "s2" "two"`, `1800000010000 "s1" "over"`},
	"bands": {`1800000000500 "a\x00b" "\x00\x01\xff"`, `4611686018427387903 "last" "x"`},
}

// Guards against a change of the file format. A store written by an earlier version must give the same rows
// and values, read-write and read-only, and must accept further rows.
func TestStoredFileStaysReadable(t *testing.T) {
	for _, o := range []Options{{}, {ReadOnly: true}} {
		t.Run(fmt.Sprint("read only ", o.ReadOnly), func(t *testing.T) {
			s, err := Open(storedFile(t), o, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for bucket, want := range storedRows {
				var got []string
				err := s.Scan(bucket, 0, 1<<62, func(at int64, id string, value []byte) bool {
					got = append(got, fmt.Sprintf("%d %q %q", at, id, value))
					return true
				})
				if err != nil || !slices.Equal(got, want) {
					t.Errorf("bucket %s: got rows %q, error %v, want %q", bucket, got, err, want)
				}
			}
			if v, err := s.GetState("state", "list"); string(v) != "kept" || err != nil {
				t.Errorf("got state %q, error %v, want kept", v, err)
			}
			if o.ReadOnly {
				return
			}
			s.Append("steps", 1_800_000_010_000, "s1", []byte("again"))
			s.Append("steps", 1_800_000_020_000, "s1", []byte("new"))
			s.writeQueue()
			if n := countRows(t, s, "steps"); n != len(storedRows["steps"])+1 {
				t.Errorf("got %d rows after one was replaced and one added, want one more than before", n)
			}
		})
	}
}
