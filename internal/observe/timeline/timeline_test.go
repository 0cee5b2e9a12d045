package timeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// recordsStart is when the tests' records begin; the wall clock of the tests reads the same as the records'.
const recordsStart = 1000 * time.Second

func newTimelines(l Limits) *Timelines { return New(l, time.Unix(0, 0).Add) }

// applyAll applies records of a server, each so long after the one before.
func applyAll(t *Timelines, name string, step time.Duration, records []recorder.Record) {
	for i, r := range records {
		r.At = recordsStart + time.Duration(i)*step
		t.Apply(name, &r)
	}
}

// endpointChanged, probeOf and endOf are the records that change a server's state.
func endpointChanged(mode decide.EndpointState, startedAt time.Duration) recorder.Record {
	return recorder.Record{Kind: recorder.EndpointChanged, EndpointState: mode, StartedAt: startedAt}
}

func probeEnded(s decide.Status) recorder.Record {
	return recorder.Record{Kind: recorder.ProbeEnded, Status: s, Load: 0.2}
}

func endedByServer(s decide.Status) recorder.Record {
	return recorder.Record{Kind: recorder.AttemptEnded, Status: s, Initiator: recorder.Server}
}

// A server's records lead through its states, and to no other: an operator reads them as what happened.
func TestRecordsLeadThroughStates(t *testing.T) {
	ready, draining := endpointChanged(decide.Ready, 0), endpointChanged(decide.Draining, 0)
	removed := endpointChanged(decide.Removed, 0)
	restarted := endpointChanged(decide.Ready, recordsStart)
	answered, lost := probeEnded(decide.OK), probeEnded(decide.TimedOut)
	refused := endedByServer(decide.ConnectFailed)
	for _, c := range []struct {
		name    string
		records []recorder.Record
		want    string
	}{
		{
			"as usual",
			[]recorder.Record{ready, answered, draining, removed},
			"[listed warm draining gone]",
		},
		{
			"a slow start",
			[]recorder.Record{restarted},
			"[warming]",
		},
		{
			"one probe lost is nothing",
			[]recorder.Record{ready, answered, lost, answered},
			"[listed warm]",
		},
		{
			"silent and back",
			[]recorder.Record{ready, answered, lost, lost, answered},
			"[listed warm silent warm]",
		},
		{
			"dead and back",
			[]recorder.Record{ready, answered, refused, refused, answered},
			"[listed warm left out warm]",
		},
		{
			"replaced under its id",
			[]recorder.Record{ready, answered, restarted},
			"[listed warm warming]",
		},
		{
			"silent while it drains is its drain",
			[]recorder.Record{ready, answered, draining, lost, lost},
			"[listed warm draining]",
		},
		{
			"the same again is no period",
			[]recorder.Record{ready, ready, answered, answered},
			"[listed warm]",
		},
	} {
		b := newTimelines(DefaultLimits())
		applyAll(b, "s", 500*time.Millisecond, c.records)
		var states []string
		for _, p := range b.Server("s").States {
			states = append(states, p.State.String())
		}
		if got := fmt.Sprint(states); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// Slow start ends with its time, counted from the server's start.
func TestSlowStartEnds(t *testing.T) {
	b := newTimelines(DefaultLimits())
	r := endpointChanged(decide.Ready, recordsStart-2*time.Second)
	r.At = recordsStart
	b.Apply("s", &r)
	b.Tick(recordsStart + 7900*time.Millisecond)
	if b.Server("s").State() != Warming {
		t.Error("warm too soon")
	}
	b.Tick(recordsStart + 8*time.Second)
	if b.Server("s").State() != Warm {
		t.Error("it never warms up")
	}
}

// Merging old intervals keeps every count, and says what is not kept any more. The model is plain sums.
func TestMergingKeepsEveryCount(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		limits := DefaultLimits()
		limits.IntervalsKept = []int{5, 4, 3}
		b := newTimelines(limits)
		var stored Interval
		b.Sink.IntervalComplete = func(_ string, i Interval) { stored = Merge(stored, i) }
		var placedAt []time.Duration
		now := recordsStart
		for range 3000 {
			now += time.Duration(rng.ExpFloat64() * float64(400*time.Millisecond))
			r := recorder.Record{At: now, Kind: recorder.AttemptStarted}
			b.Apply("s", &r)
			placedAt = append(placedAt, now)
		}
		s := b.Server("s")
		kept, last := uint32(0), 0.0
		for _, i := range s.Intervals() {
			if i.From < last {
				t.Fatalf("seed %d: intervals are out of order: %v after %v", seed, i.From, last)
			}
			kept, last = kept+i.Placements, i.From
			if i.Width != 1000 && !i.Merged {
				t.Errorf("a merged interval does not say so: %+v", i)
			}
		}
		want := uint32(0)
		for _, at := range placedAt {
			if millis(at) >= s.DiscardedBefore {
				want++
			}
		}
		if kept != want || s.DiscardedBefore == 0 {
			t.Errorf("seed %d: %d of %d placements since %v", seed, kept, want, s.DiscardedBefore)
		}
		b.completeNewestInterval(s)
		if stored.Placements != 3000 {
			t.Errorf("the sink was given %d", stored.Placements)
		}
		if n := len(s.Tiers[0]) + len(s.Tiers[1]) + len(s.Tiers[2]); n > 12 {
			t.Errorf("%d intervals are kept", n)
		}
	}
}

// Ids that come and go by thousands: timelines are bounded, those that are gone are evicted first, and it is
// counted.
func TestManyServersAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxServers = 20
	b := newTimelines(limits)
	for i := range 10 {
		r := endpointChanged(decide.Ready, 0)
		r.At = recordsStart
		b.Apply(fmt.Sprint("stays", i), &r)
	}
	for i := range 5000 {
		r := endpointChanged(decide.Ready, 0)
		r.At = recordsStart + time.Duration(i)*time.Millisecond
		b.Apply(fmt.Sprint("id", i), &r)
		r.EndpointState = decide.Removed
		b.Apply(fmt.Sprint("id", i), &r)
	}
	if n := len(b.ServerNames()); n != 20 || b.EvictedServers != 5010-20 {
		t.Errorf("%d timelines, %d evicted", n, b.EvictedServers)
	}
	for i := range 10 {
		if b.Server(fmt.Sprint("stays", i)) == nil {
			t.Errorf("a server that is listed made room for one that is gone")
		}
	}
}

// An interval has the load, the set-up times, the counts and the ends of its records.
func TestIntervalCountsItsRecords(t *testing.T) {
	b := newTimelines(DefaultLimits())
	applyAll(b, "s", time.Millisecond, []recorder.Record{
		{Kind: recorder.EndpointChanged, EndpointState: decide.Ready},
		{Kind: recorder.ProbeEnded, Load: 0.2},
		{Kind: recorder.PeerReading, Load: 0.6},
		{Kind: recorder.ProbeEnded, Load: -1},
		{Kind: recorder.ProbeEnded, Status: decide.TimedOut},
		{Kind: recorder.AttemptStarted},
		{Kind: recorder.ConnectionUp, Elapsed: 5 * time.Millisecond},
		{Kind: recorder.AttemptStarted, Attempt: 1},
		{Kind: recorder.ConnectionUp, Elapsed: 100 * time.Millisecond},
		{Kind: recorder.AttemptEnded, Initiator: recorder.Client, Status: decide.Cancelled},
		{Kind: recorder.AttemptEnded, Initiator: recorder.Server, Status: decide.Reset},
		{Kind: recorder.RequestRejected, Reason: decide.NoCapacity},
		{Kind: recorder.MessageDelayed, Elapsed: 70 * time.Millisecond},
		{Kind: recorder.ClientMigrated},
	})
	s := b.Server("s")
	b.completeNewestInterval(s)
	i := s.Intervals()[0]
	if i.Load != [3]float32{0.2, 0.4, 0.6} || i.Placements != 2 || i.Retries != 1 || i.Probes != 3 ||
		i.PeerReadings != 1 || i.ProbesLost != 1 || i.OpenConnections != 0 ||
		i.EndsByStatus[decide.Reset] != 1 || i.EndsByStatus[decide.Cancelled] != 0 ||
		i.SlowestMessage != 70 || i.Migrations != 1 || i.Rejections != 1 ||
		i.Setup[0] < 4.9 || i.Setup[0] > 5.1 || i.Setup[2] < 99 || i.Setup[2] > 101 {
		t.Errorf("%+v", i)
	}
}

// Rejections are counted by reason, on the timeline of the server that the last attempt met and on the
// fleet's; merging keeps each count.
func TestRejectionsAreCountedByReason(t *testing.T) {
	b := newTimelines(DefaultLimits())
	applyAll(b, "s", 700*time.Millisecond, []recorder.Record{ // over several intervals
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoCapacity, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoCapacity, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoServer, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Initiator: recorder.DescriptorLimit},
		{Kind: recorder.RequestRejected, Reason: decide.AttemptsExhausted, Initiator: recorder.Module},
		{Kind: recorder.RequestFailed, Reason: decide.MayHaveRun, Initiator: recorder.Module},
	})
	sum := func(name string) (all Interval) {
		for _, i := range b.Server(name).Intervals() {
			all = Merge(all, i)
		}
		return all
	}
	var onServer, ofFleet RejectCounts
	onServer.ByReason[decide.AttemptsExhausted], onServer.ByReason[decide.MayHaveRun] = 1, 1
	ofFleet.ByReason = onServer.ByReason
	ofFleet.ByReason[decide.NoCapacity], ofFleet.ByReason[decide.NoServer] = 2, 1
	ofFleet.ByInitiator[recorder.DescriptorLimit] = 1
	if i := sum("s"); i.Rejections != 2 || i.RejectReasons != onServer {
		t.Errorf("the server's: %d, %+v", i.Rejections, i.RejectReasons)
	}
	if i := sum(FleetName); i.Rejections != 6 || i.RejectReasons != ofFleet {
		t.Errorf("the fleet's: %d, %+v", i.Rejections, i.RejectReasons)
	}
}

// A state that is not one of ours, from a store of another version, says so.
func TestUnknownStateSaysSo(t *testing.T) {
	if got := State(99).String(); got != "unknown state 99" {
		t.Error(got)
	}
}
