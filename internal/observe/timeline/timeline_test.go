package timeline

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

func states(l *ServerTimeline) (all []string) {
	for _, b := range l.States {
		all = append(all, b.State.String())
	}
	return all
}

// The states of a server, record by record.
func TestStates(t *testing.T) {
	list := func(m decide.EndpointState, since float64) recorder.Record {
		return recorder.Record{Kind: recorder.EndpointChanged, Mode: m, StartedAt: since}
	}
	probe := func(s decide.Status) recorder.Record {
		return recorder.Record{Kind: recorder.ProbeEnded, Status: s, Load: 0.2}
	}
	end := func(s decide.Status) recorder.Record {
		return recorder.Record{Kind: recorder.AttemptEnded, Status: s, Initiator: recorder.Server}
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
		b := New(DefaultLimits())
		for i, r := range c.records {
			r.At = 1e6 + float64(i)*500
			b.Apply("s", &r)
		}
		if got := fmt.Sprint(states(b.Server("s"))); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	b := New(DefaultLimits())
	r := recorder.Record{At: 1e6, Kind: recorder.EndpointChanged, Mode: decide.Ready, StartedAt: 1e6 - 2000}
	b.Apply("s", &r)
	if b.Tick(1e6 + 7900); b.Server("s").State() != Warming {
		t.Error("warm too soon")
	}
	if b.Tick(1e6 + 8000); b.Server("s").State() != Warm {
		t.Error("it never warms up")
	}
}

// Thinning keeps every count, and says what is kept no more. The model is plain sums.
func TestThinning(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		limits := DefaultLimits()
		limits.IntervalsKept = []int{5, 4, 3}
		b := New(limits)
		var stored Interval
		b.Sink.IntervalComplete = func(_ string, s Interval) { stored = Merge(stored, s) }
		var at []float64
		now := 1e6
		for range 3000 {
			now += rng.ExpFloat64() * 400
			r := recorder.Record{At: now, Kind: recorder.AttemptStarted}
			b.Apply("s", &r)
			at = append(at, now)
		}
		l := b.Server("s")
		kept, last := uint32(0), 0.0
		for _, s := range l.Intervals() {
			if s.From < last {
				t.Fatalf("seed %d: steps are out of turn: %v after %v", seed, s.From, last)
			}
			kept, last = kept+s.Placements, s.From
			if s.Width != 1000 && !s.Merged {
				t.Errorf("a merged step does not say so: %+v", s)
			}
		}
		want := uint32(0)
		for _, x := range at {
			if x >= l.DiscardedBefore {
				want++
			}
		}
		if kept != want || l.DiscardedBefore == 0 {
			t.Errorf("seed %d: %d of %d placements since %v", seed, kept, want, l.DiscardedBefore)
		}
		b.completeNewest(l)
		if stored.Placements != 3000 {
			t.Errorf("the sink was told of %d", stored.Placements)
		}
		if n := len(l.Tiers[0]) + len(l.Tiers[1]) + len(l.Tiers[2]); n > 12 {
			t.Errorf("%d steps are kept", n)
		}
	}
}

// Ids that come and go by thousands: lines are bounded, those that are gone make room first, and it is counted.
func TestManyLines(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxServers = 20
	b := New(limits)
	for i := range 10 { // these stay
		r := recorder.Record{At: 1e6, Kind: recorder.EndpointChanged, Mode: decide.Ready}
		b.Apply(fmt.Sprint("stays", i), &r)
	}
	for i := range 5000 {
		r := recorder.Record{At: 1e6 + float64(i), Kind: recorder.EndpointChanged, Mode: decide.Ready}
		b.Apply(fmt.Sprint("id", i), &r)
		r.Mode = decide.Removed
		b.Apply(fmt.Sprint("id", i), &r)
	}
	if n := len(b.Names()); n != 20 || b.Evicted != 5010-20 {
		t.Errorf("%d lines, %d evicted", n, b.Evicted)
	}
	for i := range 10 {
		if b.Server(fmt.Sprint("stays", i)) == nil {
			t.Errorf("a server that is listed made room for one that is gone")
		}
	}
}

// Load, set-ups and faults of a step.
func TestStep(t *testing.T) {
	b := New(DefaultLimits())
	for i, r := range []recorder.Record{
		{Kind: recorder.EndpointChanged, Mode: decide.Ready},
		{Kind: recorder.ProbeEnded, Load: 0.2}, {Kind: recorder.PeerReading, Load: 0.6}, {Kind: recorder.ProbeEnded, Load: -1}, {Kind: recorder.ProbeEnded, Status: decide.TimedOut},
		{Kind: recorder.AttemptStarted}, {Kind: recorder.ConnectionUp, Elapsed: 5}, {Kind: recorder.AttemptStarted, Attempt: 1}, {Kind: recorder.ConnectionUp, Elapsed: 100},
		{Kind: recorder.AttemptEnded, Initiator: recorder.Client, Status: decide.Cancelled}, {Kind: recorder.AttemptEnded, Initiator: recorder.Server, Status: decide.Reset},
		{Kind: recorder.RequestRejected, Reason: decide.NoCapacity}, {Kind: recorder.MessageDelayed, Elapsed: 70}, {Kind: recorder.ClientMigrated},
	} {
		r.At = 1e6 + float64(i)
		b.Apply("s", &r)
	}
	l := b.Server("s")
	b.completeNewest(l)
	s := l.Intervals()[0]
	if s.Load != [3]float32{0.2, 0.4, 0.6} || s.Placements != 2 || s.Retries != 1 || s.Probes != 3 || s.PeerReadings != 1 || s.ProbesLost != 1 || s.OpenConnections != 0 ||
		s.Ends[decide.Reset] != 1 || s.Ends[decide.Cancelled] != 0 || s.SlowestMessage != 70 || s.Migrations != 1 || s.Rejections != 1 ||
		s.Setup[0] < 4.9 || s.Setup[0] > 5.1 || s.Setup[2] < 99 || s.Setup[2] > 101 {
		t.Errorf("%+v", s)
	}
}

// Refusals are counted by reason, on the line of the server that the last attempt met and on the fleet's; merging keeps each count.
func TestRefusalsByReason(t *testing.T) {
	b := New(DefaultLimits())
	for i, r := range []recorder.Record{
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoCapacity, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoCapacity, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoServer, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Initiator: recorder.DescriptorLimit},
		{Kind: recorder.RequestRejected, Server: 0, Reason: decide.AttemptsExhausted, Initiator: recorder.Module},
		{Kind: recorder.RequestFailed, Server: 0, Reason: decide.MayHaveRun, Initiator: recorder.Module},
	} {
		r.At = 1e6 + float64(i)*700 // over several steps
		b.Apply("s", &r)
	}
	sum := func(name string) (all Interval) {
		for _, s := range b.Server(name).Intervals() {
			all = Merge(all, s)
		}
		return all
	}
	var onServer, ofFleet RejectCounts
	onServer.Module[decide.AttemptsExhausted], onServer.Module[decide.MayHaveRun] = 1, 1
	ofFleet.Module = onServer.Module
	ofFleet.Module[decide.NoCapacity], ofFleet.Module[decide.NoServer], ofFleet.Relay[recorder.DescriptorLimit] = 2, 1, 1
	if s := sum("s"); s.Rejections != 2 || s.RejectReasons != onServer {
		t.Errorf("the server's: %d, %+v", s.Rejections, s.RejectReasons)
	}
	if s := sum(FleetName); s.Rejections != 6 || s.RejectReasons != ofFleet {
		t.Errorf("the fleet's: %d, %+v", s.Rejections, s.RejectReasons)
	}
}
