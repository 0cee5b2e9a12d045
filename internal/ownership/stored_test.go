package ownership

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"strings"
	"testing"
)

// storedRecords are the records in testdata/records.hex, line by line, written by the version of 2026-12-03.
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

// Guards against a change of the record encoding. Relays of two versions share the records during an upgrade,
// so stored records must decode to the same values and encode to the same bytes.
func TestStoredRecordsStayReadable(t *testing.T) {
	text, err := os.ReadFile("testdata/records.hex")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Fields(string(text))
	if len(lines) != len(storedRecords) {
		t.Fatalf("%d records in testdata/records.hex, want %d", len(lines), len(storedRecords))
	}
	for i, line := range lines {
		stored, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := ParseRecord(stored); err != nil || got != storedRecords[i] {
			t.Errorf("record %d: decoded as %+v, error %v, want %+v", i, got, err, storedRecords[i])
		}
		if written := storedRecords[i].Marshal(); !bytes.Equal(written, stored) {
			t.Errorf("record %d: encoded as %x, want %x", i, written, stored)
		}
	}
}

// Bytes that are not a record of this version are rejected as a whole; no field is read from them.
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
			t.Errorf("%s: decoded as %+v, error %v, want ErrRecordFormat", name, r, err)
		}
	}
}
