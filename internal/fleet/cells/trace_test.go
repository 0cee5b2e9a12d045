package cells

import (
	"testing"

	"capersail/internal/fleet/duration"
	"capersail/internal/testing/trace"
)

// record adds an action to the trace.
func record(t *trace.Trace, r *relay, a Action) {
	t.Action(r.name)
	switch a := a.(type) {
	case SendSummary:
		t.Put("summary", a.Address, a.Cell, a.Summary)
	case ForwardSummary:
		t.Put("forward", a.To, a.Summary)
	case PublishDirectory:
		t.Put("directory", a.Directory)
	case CellChanged:
		t.Put("changed", uint8(a.Kind), a.Cell, a.Representative, a.Plan)
	}
}

// Under random failures, packet loss and cuts, every relay emits the actions recorded in testdata/trace.txt,
// in the same order. A refactoring must not change them.
func TestActionsAreThoseRecorded(t *testing.T) {
	var recording trace.Recording
	for seed := range uint64(40) {
		n := newFleet(t, seed, []int{2, 1 + int(seed%3)}, 1+int(seed%2), 3)
		n.trace = trace.New()
		n.lossRate, n.duplicateRate = 0.1*float64(seed%3), 0.05*float64(seed%2)
		for i := range 6 {
			n.advance(duration.Scale(25*second, n.rng.Float64()))
			g := n.cells[n.rng.IntN(len(n.cells))]
			switch r := g.relays[n.rng.IntN(len(g.relays))]; {
			case i == 3:
				n.isCut = func(from, to *relay) bool { return from.cell == g && to.cell != g }
			case i == 4:
				n.isCut = nil
			case r.running:
				n.kill(r)
			default:
				n.start(r)
				n.updateCell(g)
			}
		}
		n.advance(30 * second)
		recording.Add("cells", seed, n.trace)
	}
	recording.Compare(t)
}
