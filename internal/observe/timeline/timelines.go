// Package timeline folds the recorder's records into a line for each server: what state it was in, what it reported,
// what went wrong with it, and what the relay decided about it. It does no I/O and has no clock: times are
// milliseconds of the clock that the records carry.
package timeline

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"capersail/decide"
)

// Limits bound what is kept in memory.
type Limits struct {
	IntervalWidths  []float64 // of steps, rising multiples; older steps are merged into the next
	IntervalsKept   []int     // steps of each width
	MaxStatePeriods int       // of one line
	MaxServers      int
	SlowStart       float64 // ms in which a server that has started counts as warming
}

// DefaultLimits limits: about 40 KB a server.
func DefaultLimits() Limits {
	return Limits{IntervalWidths: []float64{1000, 10_000, 60_000}, IntervalsKept: []int{120, 180, 120}, MaxStatePeriods: 64, MaxServers: 512, SlowStart: 10_000}
}

// FleetName is the name of the line of what concerns no single server.
const FleetName = ""

// ServerTimeline is one server's.
type ServerTimeline struct {
	Name            string
	States          []StatePeriod
	Tiers           [][]Interval // the finest first, each in order of time
	DiscardedBefore float64      // what was before is kept no more, 0 if nothing
	StateChanges    int          // bands so far, with those forgotten

	openConnections int32
	startedAt       float64
	mode            decide.EndpointState
	missedProbes    int // probes without an answer in a row
	failuresInARow  int // connections that failed in a row
	probeAnswered   bool
	setups          *hdr.Histogram // of the newest step
	newestReported  bool           // the newest step has been told to the sink
	touchedAt       float64
}

// Sink is told what a Line closes, for a store. Both may be nil.
type Sink struct {
	StateChanged     func(line string, b StatePeriod) // begun, or ended where To is set
	IntervalComplete func(line string, s Interval)    // complete
}

// Timelines is all lines.
type Timelines struct {
	Limits
	Sink    Sink
	servers map[string]*ServerTimeline
	Evicted int // lines that had to make room
	now     float64
}

// New returns a Book without lines.
func New(l Limits) *Timelines { return &Timelines{Limits: l, servers: map[string]*ServerTimeline{}} }

// Server finds a line; nil if there is none.
func (b *Timelines) Server(name string) *ServerTimeline { return b.servers[name] }

// Names lists the lines in order.
func (b *Timelines) Names() []string {
	names := make([]string, 0, len(b.servers))
	for name := range b.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// server finds or begins a server. The server that has been gone for the longest makes room, or else the one that
// nothing was heard of for the longest.
func (b *Timelines) server(name string) *ServerTimeline {
	l := b.servers[name]
	if l == nil {
		if len(b.servers) >= b.MaxServers {
			b.evict()
		}
		l = &ServerTimeline{Name: name, Tiers: make([][]Interval, len(b.IntervalWidths)), setups: hdr.New(1, 120_000_000, 2)}
		b.servers[name] = l
	}
	l.touchedAt = b.now
	return l
}

func (b *Timelines) evict() {
	var oldest *ServerTimeline
	for _, l := range b.servers {
		if l.Name == FleetName {
			continue
		}
		if gone := l.state() == Gone; oldest == nil || gone && oldest.state() != Gone ||
			gone == (oldest.state() == Gone) && (l.touchedAt < oldest.touchedAt || l.touchedAt == oldest.touchedAt && l.Name < oldest.Name) {
			oldest = l
		}
	}
	if oldest != nil {
		b.completeNewest(oldest)
		delete(b.servers, oldest.Name)
		b.Evicted++
	}
}

func (l *ServerTimeline) state() State {
	if len(l.States) == 0 {
		return 0
	}
	return l.States[len(l.States)-1].State
}

// OpenConnections is how many connections this relay holds there.
func (l *ServerTimeline) OpenConnections() int { return int(l.openConnections) }

// Tick lets time pass: servers that have been started long enough are warm.
func (b *Timelines) Tick(now float64) {
	b.now = max(b.now, now)
	for _, l := range b.servers {
		if t := l.Tiers[0]; len(t) > 0 && now >= t[len(t)-1].From+b.IntervalWidths[0]+completeAfter {
			b.completeNewest(l)
		}
		if l.state() == Warming && now-l.startedAt >= b.SlowStart {
			b.enterState(l, max(l.startedAt+b.SlowStart, l.States[len(l.States)-1].From), Warm, "warmed up")
		}
	}
}
