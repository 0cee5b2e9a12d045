package timeline

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

func states(l *Line) (all []string) {
	for _, b := range l.Bands {
		all = append(all, b.State.String())
	}
	return all
}

// The states of a server, record by record.
func TestStates(t *testing.T) {
	list := func(m decide.EndpointState, since float64) recorder.Record {
		return recorder.Record{Kind: recorder.List, Mode: m, Since: since}
	}
	probe := func(s decide.Status) recorder.Record {
		return recorder.Record{Kind: recorder.Probe, Status: s, Load: 0.2}
	}
	end := func(s decide.Status) recorder.Record {
		return recorder.Record{Kind: recorder.End, Status: s, By: recorder.Server}
	}
	for _, c := range []struct {
		name    string
		records []recorder.Record
		want    string
	}{
		{"as usual", []recorder.Record{list(decide.Ready, 0), probe(decide.OK), list(decide.Draining, 0), list(decide.Removed, 0)}, "[listed warm draining gone]"},
		{"a cold start", []recorder.Record{list(decide.Ready, 1e6)}, "[warming]"},
		{"one probe lost is nothing", []recorder.Record{list(decide.Ready, 0), probe(decide.OK), probe(decide.TimedOut), probe(decide.OK)}, "[listed warm]"},
		{"silent and back", []recorder.Record{list(decide.Ready, 0), probe(decide.OK), probe(decide.TimedOut), probe(decide.TimedOut), probe(decide.OK)}, "[listed warm silent warm]"},
		{"dead and back", []recorder.Record{list(decide.Ready, 0), probe(decide.OK), end(decide.ConnectFailed), end(decide.ConnectFailed), probe(decide.OK)}, "[listed warm left out warm]"},
		{"replaced under its id", []recorder.Record{list(decide.Ready, 0), probe(decide.OK), list(decide.Ready, 1e6)}, "[listed warm warming]"},
		{"silent while it drains is its drain", []recorder.Record{list(decide.Ready, 0), probe(decide.OK), list(decide.Draining, 0), probe(decide.TimedOut), probe(decide.TimedOut)}, "[listed warm draining]"},
		{"the same again is no band", []recorder.Record{list(decide.Ready, 0), list(decide.Ready, 0), probe(decide.OK), probe(decide.OK)}, "[listed warm]"},
	} {
		b := New(Default())
		for i, r := range c.records {
			r.At = 1e6 + float64(i)*500
			b.Fold("s", &r)
		}
		if got := fmt.Sprint(states(b.Line("s"))); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	b := New(Default())
	r := recorder.Record{At: 1e6, Kind: recorder.List, Mode: decide.Ready, Since: 1e6 - 2000}
	b.Fold("s", &r)
	if b.Tick(1e6 + 7900); b.Line("s").State() != Warming {
		t.Error("warm too soon")
	}
	if b.Tick(1e6 + 8000); b.Line("s").State() != Warm {
		t.Error("it never warms up")
	}
}

// Thinning keeps every count, and says what is kept no more. The model is plain sums.
func TestThinning(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		limits := Default()
		limits.Keep = []int{5, 4, 3}
		b := New(limits)
		var stored Step
		b.Sink.Step = func(_ string, s Step) { stored = Merge(stored, s) }
		var at []float64
		now := 1e6
		for range 3000 {
			now += rng.ExpFloat64() * 400
			r := recorder.Record{At: now, Kind: recorder.Place}
			b.Fold("s", &r)
			at = append(at, now)
		}
		l := b.Line("s")
		kept, last := uint32(0), 0.0
		for _, s := range l.Steps() {
			if s.From < last {
				t.Fatalf("seed %d: steps are out of turn: %v after %v", seed, s.From, last)
			}
			kept, last = kept+s.Places, s.From
			if s.Width != 1000 && !s.Merged {
				t.Errorf("a merged step does not say so: %+v", s)
			}
		}
		want := uint32(0)
		for _, x := range at {
			if x >= l.Forgotten {
				want++
			}
		}
		if kept != want || l.Forgotten == 0 {
			t.Errorf("seed %d: %d of %d placements since %v", seed, kept, want, l.Forgotten)
		}
		b.seal(l)
		if stored.Places != 3000 {
			t.Errorf("the sink was told of %d", stored.Places)
		}
		if n := len(l.Tiers[0]) + len(l.Tiers[1]) + len(l.Tiers[2]); n > 12 {
			t.Errorf("%d steps are kept", n)
		}
	}
}

// Ids that come and go by thousands: lines are bounded, those that are gone make room first, and it is counted.
func TestManyLines(t *testing.T) {
	limits := Default()
	limits.Lines = 20
	b := New(limits)
	for i := range 10 { // these stay
		r := recorder.Record{At: 1e6, Kind: recorder.List, Mode: decide.Ready}
		b.Fold(fmt.Sprint("stays", i), &r)
	}
	for i := range 5000 {
		r := recorder.Record{At: 1e6 + float64(i), Kind: recorder.List, Mode: decide.Ready}
		b.Fold(fmt.Sprint("id", i), &r)
		r.Mode = decide.Removed
		b.Fold(fmt.Sprint("id", i), &r)
	}
	if n := len(b.Names()); n != 20 || b.Evicted != 5010-20 {
		t.Errorf("%d lines, %d evicted", n, b.Evicted)
	}
	for i := range 10 {
		if b.Line(fmt.Sprint("stays", i)) == nil {
			t.Errorf("a server that is listed made room for one that is gone")
		}
	}
}

// Load, set-ups and faults of a step.
func TestStep(t *testing.T) {
	b := New(Default())
	for i, r := range []recorder.Record{
		{Kind: recorder.List, Mode: decide.Ready},
		{Kind: recorder.Probe, Load: 0.2}, {Kind: recorder.Told, Load: 0.6}, {Kind: recorder.Probe, Load: -1}, {Kind: recorder.Probe, Status: decide.TimedOut},
		{Kind: recorder.Place}, {Kind: recorder.Up, Took: 5}, {Kind: recorder.Place, Attempt: 1}, {Kind: recorder.Up, Took: 100},
		{Kind: recorder.End, By: recorder.Client, Status: decide.Cancelled}, {Kind: recorder.End, By: recorder.Server, Status: decide.Reset},
		{Kind: recorder.Refuse, Why: decide.NoCapacity}, {Kind: recorder.Delay, Took: 70}, {Kind: recorder.Move},
	} {
		r.At = 1e6 + float64(i)
		b.Fold("s", &r)
	}
	l := b.Line("s")
	b.seal(l)
	s := l.Steps()[0]
	if s.Load != [3]float32{0.2, 0.4, 0.6} || s.Places != 2 || s.Retries != 1 || s.Probes != 3 || s.Told != 1 || s.Lost != 1 || s.Held != 0 ||
		s.Ends[decide.Reset] != 1 || s.Ends[decide.Cancelled] != 0 || s.Slow != 70 || s.Moves != 1 || s.Refusals != 1 ||
		s.Setup[0] < 4.9 || s.Setup[0] > 5.1 || s.Setup[2] < 99 || s.Setup[2] > 101 {
		t.Errorf("%+v", s)
	}
}

// Refusals are counted by reason, on the line of the server that the last attempt met and on the fleet's; merging keeps each count.
func TestRefusalsByReason(t *testing.T) {
	b := New(Default())
	for i, r := range []recorder.Record{
		{Kind: recorder.Refuse, Server: -1, Why: decide.NoCapacity, By: recorder.Module},
		{Kind: recorder.Refuse, Server: -1, Why: decide.NoCapacity, By: recorder.Module},
		{Kind: recorder.Refuse, Server: -1, Why: decide.NoServer, By: recorder.Module},
		{Kind: recorder.Refuse, Server: -1, By: recorder.Door},
		{Kind: recorder.Refuse, Server: 0, Why: decide.AttemptsExhausted, By: recorder.Module},
		{Kind: recorder.Fail, Server: 0, Why: decide.MayHaveRun, By: recorder.Module},
	} {
		r.At = 1e6 + float64(i)*700 // over several steps
		b.Fold("s", &r)
	}
	sum := func(name string) (all Step) {
		for _, s := range b.Line(name).Steps() {
			all = Merge(all, s)
		}
		return all
	}
	var onServer, ofFleet Reasons
	onServer.Module[decide.AttemptsExhausted], onServer.Module[decide.MayHaveRun] = 1, 1
	ofFleet.Module = onServer.Module
	ofFleet.Module[decide.NoCapacity], ofFleet.Module[decide.NoServer], ofFleet.Relay[recorder.Door] = 2, 1, 1
	if s := sum("s"); s.Refusals != 2 || s.Reasons != onServer {
		t.Errorf("the server's: %d, %+v", s.Refusals, s.Reasons)
	}
	if s := sum(Fleet); s.Refusals != 6 || s.Reasons != ofFleet {
		t.Errorf("the fleet's: %d, %+v", s.Refusals, s.Reasons)
	}
}
