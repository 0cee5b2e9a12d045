package manualeject

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// storedEjections maps the file names in testdata/bans, which the version of 2026-12-03 wrote, to the ids
// that they encode.
var storedEjections = map[string]string{
	"out-":                             "",
	"out-732d3562653261303763":         "s-5be2a07c",
	"out-2e2e2f7061737377640a":         "../passwd\n",
	"out-6e6f64652d3132372e3a39303031": "node-127.:9001",
	"out-c3bcff00":                     "\u00fc\xff\x00",
}

// The files of an earlier version must decode to the same ids and keep their names: during an upgrade the new
// process reads the ejections of the old one, and the old process those of the new one.
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
			t.Errorf("IDFromFileName(%s): got %q, %v, want %q, true", e.Name(), id, ok, want)
		}
		ids = append(ids, id)
		if info, err := os.Stat(filepath.Join("testdata/bans", e.Name())); err != nil || info.Size() != 0 {
			t.Errorf("%s: error %v, or the file is not empty; want an empty file", e.Name(), err)
		}
	}
	var b Ejections
	if !b.Replace(1000, ids) {
		t.Error("Replace by the stored ejections: got false (no change), want true")
	}
	if got := b.IDs(); len(got) != len(storedEjections) || !slices.Contains(got, "s-5be2a07c") {
		t.Errorf("ids after Replace: got %q, want those of storedEjections", got)
	}
	for name, id := range storedEjections {
		if got := FileName(id); got != name {
			t.Errorf("FileName(%q): got %q, want %q", id, got, name)
		}
	}
}
