package membership

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

var updateTrace = flag.Bool("update-trace", false,
	"write testdata/trace.txt anew, after a change of behaviour that is meant")

// trace is a hash over all actions of all relays of a schedule, in their order. Times on a clock are left
// out, as their representation may change; that they are the same shows in when actions come.
type trace struct {
	hash  hash.Hash64
	count int
}

func newTrace() *trace { return &trace{hash: fnv.New64a()} }

// add takes an action down, with the share that its relay has at that moment.
func (t *trace) add(relay int, share float64, a Action) {
	if t == nil {
		return
	}
	t.count++
	put := func(values ...any) { fmt.Fprintln(t.hash, values...) }
	put(relay, share)
	switch a := a.(type) {
	case Save:
		r := a.Record
		put("save", r.Incarnation, r.SlotReleased, r.Promised, r.AcceptedBallot, viewHash(r.Accepted),
			viewHash(r.View))
	case Send:
		put("send", a.To, uint8(a.Kind), a.Epoch, a.Message.To, a.Ballot, a.AcceptedBallot, viewHash(a.View),
			a.Unavailable, a.From, a.BootstrapSlot, a.Plan)
	case Publish:
		s := a.Status
		put("publish", s.Version, s.Incarnation, uint8(s.Lifecycle), s.Zone, s.RequestRate, s.OpenConnections,
			s.EndpointListGeneration, s.Epoch, s.Hash)
		put(s.BootstrapSize, s.BootstrapSlot, s.SlotReleased, s.Seq, s.DrainRate, s.ActivatedPlan)
	case Changed:
		put("changed", uint8(a.Kind), a.Name)
	case RefreshEndpointList:
		put("refresh", a.Generation)
	}
}

func viewHash(v *View) uint64 {
	if v == nil {
		return 0
	}
	return v.Hash()
}

// spreadClocks gives each relay's clock a rate drawn at random, and Ticks a moment of their own: of
// clocks that run at the very bounds many timers end at the moment of an event, and whether they have
// ended then is a matter of rounding.
func (w *world) spreadClocks() {
	w.tickLead = 9.7
	for _, n := range w.nodes {
		n.clockRate = 1 + MaxClockDrift*(2*w.rng.Float64()-1)
	}
}

// Over drawn schedules of faults every relay does the same, in the same order and with the same random
// draws, as it did when testdata/trace.txt was written: a change that is meant to change no behaviour
// changes none.
func TestActionsAreThoseRecorded(t *testing.T) {
	var got strings.Builder
	line := func(what string, seed uint64, tr *trace) {
		fmt.Fprintf(&got, "%s %d %d %016x\n", what, seed, tr.count, tr.hash.Sum64())
	}
	for seed := range uint64(120) {
		relays := 2 + int(seed%6)
		w := newWorld(relays, min(relays, 5), seed)
		w.trace = newTrace()
		w.spreadClocks()
		w.play(min(relays, 5), seed, 16)
		line("flat", seed, w.trace)
	}
	for seed := range uint64(24) {
		f := newFederation(seed, nil)
		f.trace = newTrace()
		regions := 1 + int(seed%2)
		f.play(regions, regions*(1+int(seed/2%2)), 3, seed%3 == 0, 16)
		line("cells", seed, f.trace)
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
