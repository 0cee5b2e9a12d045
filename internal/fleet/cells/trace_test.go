package cells

import (
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"capersail/internal/fleet/duration"
)

var updateTrace = flag.Bool("update-trace", false,
	"write testdata/trace.txt anew, after a change of behaviour that is meant")

// trace is a hash over all actions of all relays, in their order.
type trace struct {
	hash  hash.Hash64
	count int
}

func newTrace() *trace { return &trace{hash: fnv.New64a()} }

func (t *trace) add(r *relay, a Action) {
	if t == nil {
		return
	}
	t.count++
	put := func(values ...any) { fmt.Fprintln(t.hash, values...) }
	put(r.name)
	switch a := a.(type) {
	case SendSummary:
		put("summary", a.Address, a.Cell, a.Summary)
	case ForwardSummary:
		put("forward", a.To, a.Summary)
	case PublishDirectory:
		put("directory", a.Directory)
	case Changed:
		put("changed", uint8(a.Kind), a.Cell, a.Representative, a.Plan)
	}
}

// Over drawn deaths, losses and cuts every relay does the same, in the same order, as it did when
// testdata/trace.txt was written: a change that is meant to change no behaviour changes none.
func TestActionsAreThoseRecorded(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(40) {
		n := fleetOf(t, seed, []int{2, 1 + int(seed%3)}, 1+int(seed%2), 3)
		n.trace = newTrace()
		n.loss, n.double = 0.1*float64(seed%3), 0.05*float64(seed%2)
		for i := range 6 {
			n.pass(duration.Scale(25*second, n.draw.Float64()))
			g := n.cells[n.draw.IntN(len(n.cells))]
			switch r := g.relays[n.draw.IntN(len(g.relays))]; {
			case i == 3:
				n.cut = func(from, to *relay) bool { return from.group == g && to.group != g }
			case i == 4:
				n.cut = nil
			case r.up:
				n.kill(r)
			default:
				n.start(r)
				n.updateCell(g)
			}
		}
		n.pass(30 * second)
		fmt.Fprintf(&got, "cells %d %d %016x\n", seed, n.trace.count, n.trace.hash.Sum64())
	}
	file := filepath.Join("testdata", "trace.txt")
	if *updateTrace {
		if err := os.WriteFile(file, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(text), "\n")
	for i, line := range strings.Split(got.String(), "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("schedule, seed, actions, hash: %q, recorded %q", line, want[min(i, len(want)-1)])
		}
	}
}
