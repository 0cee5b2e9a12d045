package timeline

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"capersail/decide"
)

// Limits bounds the timelines kept in memory.
type Limits struct {
	IntervalWidths  []time.Duration // one per tier, the finest first, each a multiple of the previous one
	IntervalsKept   []int           // per tier; older intervals are merged into the next tier
	MaxStatePeriods int             // per server
	MaxServers      int
	SlowStart       time.Duration // time after its start for which a server counts as warming
}

// DefaultLimits returns limits that keep two minutes in intervals of 1 s, half an hour in intervals of 10 s
// and two hours in intervals of 1 min, which takes about 40 KB per server.
func DefaultLimits() Limits {
	return Limits{
		IntervalWidths:  []time.Duration{time.Second, 10 * time.Second, time.Minute},
		IntervalsKept:   []int{120, 180, 120},
		MaxStatePeriods: 64,
		MaxServers:      512,
		SlowStart:       10 * time.Second,
	}
}

// FleetName is the name of the timeline of the fleet, for records without a server.
const FleetName = ""

// Range and precision of the histogram of set-up times: from 1 µs to 2 minutes.
const (
	maxSetupMicros         = 120_000_000
	setupSignificantDigits = 2
)

// ServerTimeline is the timeline of one server, or of the fleet.
type ServerTimeline struct {
	Name            string
	States          []StatePeriod
	Tiers           [][]Interval // the finest first, each in order of time
	DiscardedBefore float64      // Unix ms; nothing older is kept, 0 if nothing was discarded
	StateChanges    int          // number of state periods, including discarded ones

	endpoint
	health
	openConnections   int32
	setups            *hdr.Histogram // set-up times of the newest interval
	newestGivenToSink bool           // whether the newest interval was passed to the sink
	lastRecordAt      time.Duration
	stateSince        time.Duration
}

// endpoint is the entry of a server in the endpoint list.
type endpoint struct {
	endpointState decide.EndpointState
	startedAt     time.Duration // 0 for long ago
}

// health is the state of a server as seen by probes and connections.
type health struct {
	missedProbes   int // in a row
	failuresInARow int // connections and probes
	probeAnswered  bool
}

// OpenConnections returns the number of connections of this relay to the server.
func (s *ServerTimeline) OpenConnections() int { return int(s.openConnections) }

// Sink receives completed parts of timelines, to store them. Either function may be nil.
type Sink struct {
	StateChanged     func(server string, p StatePeriod) // the period has begun or, if To is set, ended
	IntervalComplete func(server string, i Interval)
}

// Timelines holds the timelines of all servers and of the fleet. It is not safe for concurrent use.
type Timelines struct {
	Limits
	Sink           Sink
	EvictedServers int // number of servers evicted so far

	wall    func(time.Duration) time.Time
	servers map[string]*ServerTimeline
	now     time.Duration // of the newest record or tick
}

// New returns Timelines without servers. The function wall converts an instant of the records' clock to wall
// clock time.
func New(l Limits, wall func(time.Duration) time.Time) *Timelines {
	return &Timelines{Limits: l, wall: wall, servers: map[string]*ServerTimeline{}}
}

// unixMs converts an instant to Unix milliseconds, the unit of the times of rows.
func (t *Timelines) unixMs(at time.Duration) float64 { return float64(t.wall(at).UnixNano()) / 1e6 }

// Server returns the timeline of a server, or nil if there is none.
func (t *Timelines) Server(name string) *ServerTimeline { return t.servers[name] }

// ServerNames returns the sorted names of the servers, with FleetName if the fleet has a timeline.
func (t *Timelines) ServerNames() []string {
	names := make([]string, 0, len(t.servers))
	for name := range t.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// serverTimeline returns the timeline of a server, and creates it if needed. If there are too many servers,
// another one is evicted.
func (t *Timelines) serverTimeline(name string) *ServerTimeline {
	s := t.servers[name]
	if s == nil {
		if len(t.servers) >= t.MaxServers {
			t.evictServer()
		}
		s = &ServerTimeline{
			Name:   name,
			Tiers:  make([][]Interval, len(t.IntervalWidths)),
			setups: hdr.New(1, maxSetupMicros, setupSignificantDigits),
		}
		t.servers[name] = s
	}
	s.lastRecordAt = t.now
	return s
}

// evictServer discards the timeline whose last record is the oldest, of a server that is gone if there is
// one. The fleet's timeline is never discarded.
func (t *Timelines) evictServer() {
	var first *ServerTimeline
	for _, s := range t.servers {
		if s.Name != FleetName && (first == nil || s.evictBefore(first)) {
			first = s
		}
	}
	if first != nil {
		t.completeNewestInterval(first)
		delete(t.servers, first.Name)
		t.EvictedServers++
	}
}

// evictBefore reports whether s is evicted before o.
func (s *ServerTimeline) evictBefore(o *ServerTimeline) bool {
	switch gone, otherGone := s.State() == Gone, o.State() == Gone; {
	case gone != otherGone:
		return gone
	case s.lastRecordAt != o.lastRecordAt:
		return s.lastRecordAt < o.lastRecordAt
	}
	return s.Name < o.Name
}

// Tick advances the time: it completes intervals that have ended, and servers whose slow start is over become
// warm.
func (t *Timelines) Tick(now time.Duration) {
	t.now = max(t.now, now)
	for _, s := range t.servers {
		if t.newestIntervalEnded(s, now) {
			t.completeNewestInterval(s)
		}
		if s.State() == Warming && now-s.startedAt >= t.SlowStart {
			t.enterState(s, max(s.startedAt+t.SlowStart, s.stateSince), Warm, "warmed up")
		}
	}
}
