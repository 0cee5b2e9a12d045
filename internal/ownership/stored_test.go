package ownership

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"strings"
	"testing"
)

// storedRecords are the records of testdata/records.hex, which the version of 2026-12-03 wrote, line by line.
var storedRecords = []Record{
	{},
	{FencingToken: 1, ExpiresUnixMs: 1_800_000_000_000},
	{FencingToken: 7, MinFencingToken: 6, ExpiresUnixMs: 1_800_003_602_000},
	{FencingToken: 1<<64 - 1, MinFencingToken: 1<<64 - 2, ExpiresUnixMs: 1<<63 - 1},
	{
		FencingToken:    0x0102030405060708,
		MinFencingToken: 0x1112131415161718,
		ExpiresUnixMs:   0x2122232425262728,
	},
	{FencingToken: 2, MinFencingToken: 1, ExpiresUnixMs: -1},
}

// Records that an earlier version left at the ownership service are read to the same values, and written to
// the same bytes: relays of both versions share them while a fleet is replaced.
func TestStoredRecordsStayReadable(t *testing.T) {
	text, err := os.ReadFile("testdata/records.hex")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) != len(storedRecords) {
		t.Fatalf("%d records in the file, %d expected", len(lines), len(storedRecords))
	}
	for i, line := range lines {
		stored, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseRecord(stored); err != nil || got != storedRecords[i] {
			t.Errorf("record %d: read as %+v, %v, want %+v", i, got, err, storedRecords[i])
		}
		if written := storedRecords[i].Marshal(); !bytes.Equal(written, stored) {
			t.Errorf("record %d: written as %x, want %x", i, written, stored)
		}
	}
}

// What is not a record of this version is none: nothing is guessed from it.
func TestForeignRecordsAreRejected(t *testing.T) {
	good := storedRecords[2].Marshal()
	newer := bytes.Clone(good)
	newer[0] = 2
	for name, stored := range map[string][]byte{
		"empty":            nil,
		"a newer version":  newer,
		"cut short":        good[:len(good)-1],
		"a byte too many":  append(bytes.Clone(good), 0),
		"the version only": good[:1],
	} {
		if r, err := ParseRecord(stored); !errors.Is(err, ErrRecordFormat) {
			t.Errorf("%s: read as %+v, %v", name, r, err)
		}
	}
}
