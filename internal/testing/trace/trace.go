// Package trace holds what deciders do in drawn schedules against what they did when a file was recorded,
// so that a change that is meant to change no behaviour is seen to change none. It serves tests only.
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
	"record testdata/trace.txt anew, after a change of behaviour that is meant")

// Trace is a hash over actions, in their order. Its methods do nothing on nil.
type Trace struct {
	hash    hash.Hash64
	actions int
}

// New returns a Trace of no actions.
func New() *Trace { return &Trace{hash: fnv.New64a()} }

// Action begins an action, with what says whose it is.
func (t *Trace) Action(values ...any) {
	if t == nil {
		return
	}
	t.actions++
	t.Put(values...)
}

// Put adds values, by their text.
func (t *Trace) Put(values ...any) {
	if t != nil {
		fmt.Fprintln(t.hash, values...)
	}
}

// Recording is the traces of many schedules, a line each.
type Recording struct{ lines strings.Builder }

// Add adds the trace of a schedule under its kind and seed.
func (r *Recording) Add(kind string, seed uint64, t *Trace) {
	fmt.Fprintf(&r.lines, "%s %d %d %016x\n", kind, seed, t.actions, t.hash.Sum64())
}

// Compare fails the test if the traces are not those of testdata/trace.txt. With -update-trace it writes
// that file.
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
