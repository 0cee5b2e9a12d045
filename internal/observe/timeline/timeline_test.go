package timeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// recordsStart is the instant of the first record of the tests. The tests use the same time for the wall
// clock and the records' clock.
const recordsStart = 1000 * time.Second

func newTimelines(l Limits) *Timelines { return New(l, time.Unix(0, 0).Add) }

// applyAll applies records of a server, each one step after the previous one.
func applyAll(t *Timelines, name string, step time.Duration, records []recorder.Record) {
	for i, r := range records {
		r.At = recordsStart + time.Duration(i)*step
		t.Apply(name, &r)
	}
}

// endpointChanged, probeEnded and endedByServer return records that change a server's state.
func endpointChanged(mode decide.EndpointState, startedAt time.Duration) recorder.Record {
	return recorder.Record{Kind: recorder.EndpointChanged, EndpointState: mode, StartedAt: startedAt}
}

func probeEnded(s decide.Status) recorder.Record {
	return recorder.Record{Kind: recorder.ProbeEnded, Status: s, Load: 0.2}
}

func endedByServer(s decide.Status) recorder.Record {
	return recorder.Record{Kind: recorder.AttemptEnded, Status: s, Initiator: recorder.Server}
}

// A server's records lead to the expected states and to no others: operators rely on them as the server's
// history.
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
			"from listed to removed",
			[]recorder.Record{ready, answered, draining, removed},
			"[listed warm draining gone]",
		},
		{
			"restarted: slow start",
			[]recorder.Record{restarted},
			"[warming]",
		},
		{
			"one lost probe changes no state",
			[]recorder.Record{ready, answered, lost, answered},
			"[listed warm]",
		},
		{
			"unresponsive and back",
			[]recorder.Record{ready, answered, lost, lost, answered},
			"[listed warm silent warm]",
		},
		{
			"connections refused and back",
			[]recorder.Record{ready, answered, refused, refused, answered},
			"[listed warm left out warm]",
		},
		{
			"restarted under the same id",
			[]recorder.Record{ready, answered, restarted},
			"[listed warm warming]",
		},
		{
			"unresponsive while draining stays draining",
			[]recorder.Record{ready, answered, draining, lost, lost},
			"[listed warm draining]",
		},
		{
			"repeated records begin no new period",
			[]recorder.Record{ready, ready, answered, answered},
			"[listed warm]",
		},
	} {
		timelines := newTimelines(DefaultLimits())
		applyAll(timelines, "s", 500*time.Millisecond, c.records)
		var states []string
		for _, p := range timelines.Server("s").States {
			states = append(states, p.State.String())
		}
		if got := fmt.Sprint(states); got != c.want {
			t.Errorf("%s: got states %s, want %s", c.name, got, c.want)
		}
	}
}

// Slow start ends once its duration has passed since the server's start.
func TestSlowStartEnds(t *testing.T) {
	timelines := newTimelines(DefaultLimits())
	r := endpointChanged(decide.Ready, recordsStart-2*time.Second)
	r.At = recordsStart
	timelines.Apply("s", &r)
	timelines.Tick(recordsStart + 7900*time.Millisecond)
	if timelines.Server("s").State() != Warming {
		t.Error("the server is not warming 9.9 s after its start, want slow start until 10 s")
	}
	timelines.Tick(recordsStart + 8*time.Second)
	if timelines.Server("s").State() != Warm {
		t.Error("the server is not warm 10 s after its start, want warm")
	}
}

// Merging old intervals keeps every count, and DiscardedBefore shows what was discarded. The test compares
// with plain sums.
func TestMergingKeepsEveryCount(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		limits := DefaultLimits()
		limits.IntervalsKept = []int{5, 4, 3}
		timelines := newTimelines(limits)
		var stored Interval
		timelines.Sink.IntervalComplete = func(_ string, i Interval) { stored = Merge(stored, i) }
		var placedAt []time.Duration
		now := recordsStart
		for range 3000 {
			now += time.Duration(rng.ExpFloat64() * float64(400*time.Millisecond))
			r := recorder.Record{At: now, Kind: recorder.AttemptStarted}
			timelines.Apply("s", &r)
			placedAt = append(placedAt, now)
		}
		s := timelines.Server("s")
		kept, last := uint32(0), 0.0
		for _, i := range s.Intervals() {
			if i.From < last {
				t.Fatalf("seed %d: the intervals are not in order of time: %v follows %v", seed, i.From, last)
			}
			kept, last = kept+i.Placements, i.From
			if i.Width != 1000 && !i.Merged {
				t.Errorf("an interval wider than 1000 ms is not marked as merged: %+v", i)
			}
		}
		want := uint32(0)
		for _, at := range placedAt {
			if millis(at) >= s.DiscardedBefore {
				want++
			}
		}
		if kept != want || s.DiscardedBefore == 0 {
			t.Errorf("seed %d: got %d of %d placements since DiscardedBefore %v, want all and not 0",
				seed, kept, want, s.DiscardedBefore)
		}
		timelines.completeNewestInterval(s)
		if stored.Placements != 3000 {
			t.Errorf("the sink received %d placements, want 3000", stored.Placements)
		}
		if n := len(s.Tiers[0]) + len(s.Tiers[1]) + len(s.Tiers[2]); n > 12 {
			t.Errorf("%d intervals are kept, want at most 12", n)
		}
	}
}

// With thousands of servers that join and leave, the number of timelines stays bounded, timelines of servers
// that are gone are evicted first, and evictions are counted.
func TestManyServersAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxServers = 20
	timelines := newTimelines(limits)
	for i := range 10 {
		r := endpointChanged(decide.Ready, 0)
		r.At = recordsStart
		timelines.Apply(fmt.Sprint("stays", i), &r)
	}
	for i := range 5000 {
		r := endpointChanged(decide.Ready, 0)
		r.At = recordsStart + time.Duration(i)*time.Millisecond
		timelines.Apply(fmt.Sprint("id", i), &r)
		r.EndpointState = decide.Removed
		timelines.Apply(fmt.Sprint("id", i), &r)
	}
	if n := len(timelines.ServerNames()); n != 20 || timelines.EvictedServers != 5010-20 {
		t.Errorf("got %d timelines and %d evictions, want 20 and 4990", n, timelines.EvictedServers)
	}
	for i := range 10 {
		if timelines.Server(fmt.Sprint("stays", i)) == nil {
			t.Errorf("the timeline of a listed server was evicted before one of a server that is gone")
		}
	}
}

// An interval summarizes the loads, set-up times, counts and ends of its records.
func TestIntervalCountsItsRecords(t *testing.T) {
	timelines := newTimelines(DefaultLimits())
	applyAll(timelines, "s", time.Millisecond, []recorder.Record{
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
	s := timelines.Server("s")
	timelines.completeNewestInterval(s)
	i := s.Intervals()[0]
	if i.Load != [3]float32{0.2, 0.4, 0.6} || i.Placements != 2 || i.Retries != 1 || i.Probes != 3 ||
		i.PeerReadings != 1 || i.ProbesLost != 1 || i.OpenConnections != 0 ||
		i.EndsByStatus[decide.Reset] != 1 || i.EndsByStatus[decide.Cancelled] != 0 ||
		i.SlowestMessage != 70 || i.Migrations != 1 || i.Rejections != 1 ||
		i.Setup[0] < 4.9 || i.Setup[0] > 5.1 || i.Setup[2] < 99 || i.Setup[2] > 101 {
		t.Errorf("the interval does not match its records: got %+v", i)
	}
}

// Rejections are counted by reason on the timelines of the server of the last attempt and of the fleet, and
// merging keeps each count.
func TestRejectionsAreCountedByReason(t *testing.T) {
	timelines := newTimelines(DefaultLimits())
	applyAll(timelines, "s", 700*time.Millisecond, []recorder.Record{ // spread over several intervals
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoCapacity, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoCapacity, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Reason: decide.NoServer, Initiator: recorder.Module},
		{Kind: recorder.RequestRejected, Server: -1, Initiator: recorder.DescriptorLimit},
		{Kind: recorder.RequestRejected, Reason: decide.AttemptsExhausted, Initiator: recorder.Module},
		{Kind: recorder.RequestFailed, Reason: decide.MayHaveRun, Initiator: recorder.Module},
	})
	sum := func(name string) (all Interval) {
		for _, i := range timelines.Server(name).Intervals() {
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
		t.Errorf("server timeline: got %d rejections, %+v, want one AttemptsExhausted and one MayHaveRun",
			i.Rejections, i.RejectReasons)
	}
	if i := sum(FleetName); i.Rejections != 6 || i.RejectReasons != ofFleet {
		t.Errorf("fleet timeline: got %d rejections with reasons %+v, want 6", i.Rejections, i.RejectReasons)
	}
}

// An unknown state, as from a store of another version, is named by its number.
func TestUnknownStateIsNamedByNumber(t *testing.T) {
	if got := State(99).String(); got != "unknown state 99" {
		t.Error("name of state 99:", got, "want: unknown state 99")
	}
}
