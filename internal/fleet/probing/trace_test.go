package probing

import (
	"flag"
	"fmt"
	stdhash "hash"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var updateTrace = flag.Bool("update-trace", false,
	"write testdata/trace.txt anew, after a change of behaviour that is meant")

// trace is a hash over all actions of all relays, in their order. Times on a clock are left out, as their
// representation may change; that they are the same shows in when actions come.
type trace struct {
	hash  stdhash.Hash64
	count int
}

func newTrace() *trace { return &trace{hash: fnv.New64a()} }

func (t *trace) add(relay int, a Action) {
	if t == nil {
		return
	}
	t.count++
	put := func(values ...any) { fmt.Fprintln(t.hash, values...) }
	reading := func(r Reading) { put(r.ServerKey, r.Started, r.Origin, r.Incarnation, r.LoadReport) }
	row := func(p PlacementDelta) { put(p.ServerKey, p.Origin, p.Incarnation, p.Seq, p.Delta) }
	put(relay)
	switch a := a.(type) {
	case Probe:
		put("probe", a.ServerKey)
	case UseReading:
		put("use")
		reading(a.Reading)
	case SendReadings:
		put("send", a.To)
		for _, r := range a.Readings {
			reading(r)
		}
	case Quarantine:
		put("quarantine", a.Name)
	case PeerPlacement:
		put("placement")
		row(a.PlacementDelta)
	case SendPlacements:
		put("placements", a.To)
		for _, r := range a.Rows {
			row(r)
		}
	}
}

// place lets a relay send to a server now and then, or something end there.
func (c *simulatedFleet) place(relay int) {
	if c.rng.IntN(4) == 0 {
		s := c.servers[c.rng.IntN(len(c.servers))]
		c.carryOut(relay, c.schedulers[relay].Handle(c.localTime(relay),
			LocalPlacement{ServerKey: s.Key, Delta: 1 - 2*c.rng.IntN(2)}, nil))
	}
}

// Over drawn loads, losses, lies and deaths every relay does the same, in the same order and with the
// same random draws, as it did when testdata/trace.txt was written: a change that is meant to change no
// behaviour changes none.
func TestActionsAreThoseRecorded(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(40) {
		c := newSimulatedFleet(seed, 2+int(seed%11), 1+int(seed%17))
		c.trace = newTrace()
		c.loss = 0.1 * float64(seed%3)
		if seed%4 == 0 {
			c.falseLoad[0] = 3
		}
		c.run(4000)
		c.down[1] = true
		c.view()
		c.run(1500)
		c.down[1] = false
		c.servers[0].Started++
		c.view()
		c.run(4000)
		fmt.Fprintf(&got, "probing %d %d %016x\n", seed, c.trace.count, c.trace.hash.Sum64())
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
