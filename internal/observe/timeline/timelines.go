package timeline

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"capersail/decide"
)

// Limits bound what is kept in memory.
type Limits struct {
	IntervalWidths  []time.Duration // the finest first, each a multiple of the one before: a tier each
	IntervalsKept   []int           // of each width; older ones are merged into the next tier
	MaxStatePeriods int             // of one server
	MaxServers      int
	SlowStart       time.Duration // for which a server that has started counts as warming
}

// DefaultLimits keep two minutes by the second, half an hour by ten and two hours by the minute: about 40 KB
// a server.
func DefaultLimits() Limits {
	return Limits{
		IntervalWidths:  []time.Duration{time.Second, 10 * time.Second, time.Minute},
		IntervalsKept:   []int{120, 180, 120},
		MaxStatePeriods: 64,
		MaxServers:      512,
		SlowStart:       10 * time.Second,
	}
}

// FleetName is the name of the timeline of what concerns no single server.
const FleetName = ""

// Set-up times are kept in a histogram of microseconds, from 1 µs to 2 minutes.
const (
	maxSetupMicros         = 120_000_000
	setupSignificantDigits = 2
)

// ServerTimeline is one server's, or the fleet's.
type ServerTimeline struct {
	Name            string
	States          []StatePeriod
	Tiers           [][]Interval // the finest first, each in order of time
	DiscardedBefore float64      // Unix ms; what was before is not kept, 0 if all is
	StateChanges    int          // periods so far, with those discarded

	endpoint
	health
	openConnections   int32
	setups            *hdr.Histogram // of the newest interval
	newestGivenToSink bool           // the newest interval was given to the sink
	lastRecordAt      time.Duration
	stateSince        time.Duration
}

// endpoint is what the endpoint list says of a server.
type endpoint struct {
	endpointState decide.EndpointState
	startedAt     time.Duration // 0 for long ago
}

// health is what probes and connections say of a server.
type health struct {
	missedProbes   int // in a row
	failuresInARow int // connections and probes
	probeAnswered  bool
}

// OpenConnections is how many connections this relay has there.
func (s *ServerTimeline) OpenConnections() int { return int(s.openConnections) }

// Sink takes what a timeline completes, for a store. Either may be nil.
type Sink struct {
	StateChanged     func(server string, p StatePeriod) // begun, or ended where To is set
	IntervalComplete func(server string, i Interval)
}

// Timelines are those of all servers and of the fleet. They are not safe for concurrent use.
type Timelines struct {
	Limits
	Sink           Sink
	EvictedServers int // servers that were evicted

	wall    func(time.Duration) time.Time
	servers map[string]*ServerTimeline
	now     time.Duration // of the newest record or tick
}

// New returns Timelines without servers. Wall turns an instant of the records' clock into the wall clock's.
func New(l Limits, wall func(time.Duration) time.Time) *Timelines {
	return &Timelines{Limits: l, wall: wall, servers: map[string]*ServerTimeline{}}
}

// unixMs is an instant as rows have it.
func (t *Timelines) unixMs(at time.Duration) float64 { return float64(t.wall(at).UnixNano()) / 1e6 }

// Server finds a server's timeline; nil if there is none.
func (t *Timelines) Server(name string) *ServerTimeline { return t.servers[name] }

// ServerNames lists the servers in order; FleetName among them if anything concerned the fleet.
func (t *Timelines) ServerNames() []string {
	names := make([]string, 0, len(t.servers))
	for name := range t.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// serverTimeline finds or begins a timeline. Another one is evicted if there are too many.
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

// evictServer forgets the server that is gone and was not heard of for the longest, or else any that was not
// heard of for the longest. The fleet's timeline stays.
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

// evictBefore tells whether s is evicted before o.
func (s *ServerTimeline) evictBefore(o *ServerTimeline) bool {
	switch gone, otherGone := s.State() == Gone, o.State() == Gone; {
	case gone != otherGone:
		return gone
	case s.lastRecordAt != o.lastRecordAt:
		return s.lastRecordAt < o.lastRecordAt
	}
	return s.Name < o.Name
}

// Tick lets time pass: intervals are completed, and servers whose slow start is over are warm.
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
