package manualeject

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// storedEjections are the files of testdata/bans, which the version of 2026-12-03 wrote, and the ids that they
// stand for.
var storedEjections = map[string]string{
	"out-":                             "",
	"out-732d3562653261303763":         "s-5be2a07c",
	"out-2e2e2f7061737377640a":         "../passwd\n",
	"out-6e6f64652d3132372e3a39303031": "node-127.:9001",
	"out-c3bcff00":                     "\u00fc\xff\x00",
}

// The files by which an earlier version kept ejections are read to the same ids, and are named the same: a
// process that replaces another finds its ejections, and the one replaced those of its successor.
func TestStoredEjectionsStayReadable(t *testing.T) {
	entries, err := os.ReadDir("testdata/bans")
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, e := range entries {
		want, known := storedEjections[e.Name()]
		id, ok := IDFromFileName(e.Name())
		if !known || !ok || id != want {
			t.Errorf("%s: read as %q, %v, want %q", e.Name(), id, ok, want)
		}
		ids = append(ids, id)
		if info, err := os.Stat(filepath.Join("testdata/bans", e.Name())); err != nil || info.Size() != 0 {
			t.Errorf("%s: %v; the name says all", e.Name(), err)
		}
	}
	var b Ejections
	if !b.Replace(1000, ids) {
		t.Error("stored bans change nothing")
	}
	if got := b.IDs(); len(got) != len(storedEjections) || !slices.Contains(got, "s-5be2a07c") {
		t.Errorf("bans: %q", got)
	}
	for name, id := range storedEjections {
		if got := FileName(id); got != name {
			t.Errorf("%q is kept as %q, want %q", id, got, name)
		}
	}
}
