package probing

import (
	"testing"

	"capersail/internal/testing/trace"
)

// record adds an action to the trace. Times are left out, as their representation may change; a change in
// timing shows in the order of the actions.
func record(t *trace.Trace, relay int, a Action) {
	t.Action(relay)
	reading := func(r Reading) { t.Put(r.ServerKey, r.Started, r.Origin, r.Incarnation, r.LoadReport) }
	row := func(p PlacementDelta) { t.Put(p.ServerKey, p.Origin, p.Incarnation, p.Seq, p.Delta) }
	switch a := a.(type) {
	case Probe:
		t.Put("probe", a.ServerKey)
	case UseReading:
		t.Put("use")
		reading(a.Reading)
	case SendReadings:
		t.Put("send", a.To)
		for _, r := range a.Readings {
			reading(r)
		}
	case RelayQuarantined:
		t.Put("quarantine", a.Name)
	case PeerPlacement:
		t.Put("placement")
		row(a.PlacementDelta)
	case SendPlacements:
		t.Put("placements", a.To)
		for _, r := range a.Deltas {
			row(r)
		}
	}
}

// placeAtRandom sometimes lets a relay place a connection at a server, or end one.
func (c *simulatedFleet) placeAtRandom(relay int) {
	if c.rng.IntN(4) == 0 {
		s := c.servers[c.rng.IntN(len(c.servers))]
		c.execute(relay, c.schedulers[relay].Handle(c.localTime(relay),
			LocalPlacement{ServerKey: s.Key, Delta: 1 - 2*c.rng.IntN(2)}, nil))
	}
}

// Under random loads, packet loss, false reports and stopped relays, every relay emits the actions recorded
// in testdata/trace.txt, in the same order and with the same random draws. A refactoring must not change
// them.
func TestActionsAreThoseRecorded(t *testing.T) {
	var recording trace.Recording
	for seed := range uint64(40) {
		c := newSimulatedFleet(seed, 2+int(seed%11), 1+int(seed%17))
		c.trace = trace.New()
		c.lossRate = 0.1 * float64(seed%3)
		if seed%4 == 0 {
			c.falseLoad[0] = 3
		}
		c.run(4000)
		c.stopped[1] = true
		c.updateView()
		c.run(1500)
		c.stopped[1] = false
		c.servers[0].Started++
		c.updateView()
		c.run(4000)
		recording.Add("probing", seed, c.trace)
	}
	recording.Compare(t)
}
