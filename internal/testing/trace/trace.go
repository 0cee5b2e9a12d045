// Package trace compares the actions of deciders under generated schedules with a recording in testdata, so
// that a refactoring that changes behaviour is detected. It is used by tests only.
package trace

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateFlag = flag.Bool("update-trace", false,
	"write testdata/trace.txt anew, after an intended change of behaviour")

// Trace is a hash over a sequence of actions. Its methods do nothing on a nil Trace.
type Trace struct {
	hash    hash.Hash64
	actions int
}

// New returns a Trace without actions.
func New() *Trace { return &Trace{hash: fnv.New64a()} }

// Action starts a new action with the given values, which identify its origin.
func (t *Trace) Action(values ...any) {
	if t == nil {
		return
	}
	t.actions++
	t.Put(values...)
}

// Put adds values to the current action; they are hashed in their text form.
func (t *Trace) Put(values ...any) {
	if t != nil {
		fmt.Fprintln(t.hash, values...)
	}
}

// Recording holds the traces of many schedules, one per line.
type Recording struct{ lines strings.Builder }

// Add adds the trace of one schedule, identified by its kind and seed.
func (r *Recording) Add(kind string, seed uint64, t *Trace) {
	fmt.Fprintf(&r.lines, "%s %d %d %016x\n", kind, seed, t.actions, t.hash.Sum64())
}

// Compare fails the test if the traces differ from those in testdata/trace.txt. With -update-trace it writes
// that file first.
func (r *Recording) Compare(t *testing.T) {
	t.Helper()
	file := filepath.Join("testdata", "trace.txt")
	if *updateFlag {
		if err := os.WriteFile(file, []byte(r.lines.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(string(text), "\n"), strings.Split(r.lines.String(), "\n")
	for i := range max(len(want), len(got)) {
		if i >= len(want) || i >= len(got) || want[i] != got[i] {
			t.Fatalf("schedule, seed, actions, hash: got %q, recorded %q (-update-trace records again)",
				lineOrNothing(got, i), lineOrNothing(want, i))
		}
	}
}

func lineOrNothing(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "nothing"
}
