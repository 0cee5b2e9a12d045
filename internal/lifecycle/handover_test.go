package lifecycle

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/memory"
)

// A hand-over is taken whole by the relay of its name while it is fresh; else the reason is said.
func TestHandover(t *testing.T) {
	path, now := filepath.Join(t.TempDir(), handoverFile), time.Unix(1_800_000_000, 0)
	if list, why := readHandover(path, "n1", now, zerolog.Nop()); list != nil || why != "none" {
		t.Errorf("no file: %v, %q", list, why)
	}
	written := []memory.Listed{{ID: "s1", Address: "127.0.0.1:1", Zone: "a", Cell: 3, Mode: decide.Ready, Started: 5},
		{ID: "s2", Address: "127.0.0.1:2", Zone: "b", Mode: decide.Draining}}
	if err := writeHandover(path, "n1", now, written); err != nil {
		t.Fatal(err)
	}
	list, why := readHandover(path, "n1", now.Add(time.Second), zerolog.Nop())
	if list == nil || len(list.Entries) != 2 || list.Entries[0].Cell != 3 || list.Entries[0].Started != 5 ||
		list.Entries[1].Mode != decide.Draining || list.Entries[1].Zone != "b" {
		t.Fatalf("taken %+v, %q", list, why)
	}
	for _, c := range []struct {
		want string
		read func() (bool, string)
	}{
		{"of relay", func() (bool, string) { l, w := readHandover(path, "n2", now, zerolog.Nop()); return l == nil, w }},
		{"stale", func() (bool, string) {
			l, w := readHandover(path, "n1", now.Add(time.Minute), zerolog.Nop())
			return l == nil, w
		}},
		{"corrupt", func() (bool, string) {
			os.WriteFile(path, []byte(`{"name":"n1","writtenMs":`), 0o600)
			l, w := readHandover(path, "n1", now, zerolog.Nop())
			return l == nil, w
		}},
	} {
		if none, why := c.read(); !none || !strings.HasPrefix(why, c.want) {
			t.Errorf("%s: taken %v, %q", c.want, !none, why)
		}
	}
	if _, err := os.Stat(path + ".new"); !os.IsNotExist(err) {
		t.Errorf("the temporary file is left: %v", err)
	}
}
