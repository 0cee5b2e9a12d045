// Package timeline folds the recorder's records into a line for each server: what state it was in, what it reported,
// what went wrong with it, and what the relay decided about it. It does no I/O and has no clock: times are
// milliseconds of the clock that the records carry.
package timeline

import (
	"fmt"
	"math"
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// State is what a server is in, as this relay saw it.
type State uint8

// The states.
const (
	Listed       State = iota + 1 // ready by the list, nothing read yet
	Warming                       // just started
	Warm                          // in use
	Draining                      // wants nothing new, by the list
	Gone                          // by the list
	Unresponsive                  // answers nothing, without a reset
	Ejected                       // refuses connections or errs: nothing is sent there
)

var stateNames = [...]string{"", "listed", "warming", "warm", "draining", "gone", "silent", "left out"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// StatePeriod is a state from then to then.
type StatePeriod struct {
	State State   `cbor:"1,keyasint" json:"-"`
	Name  string  `cbor:"-" json:"state"`
	From  float64 `cbor:"2,keyasint" json:"from"`
	To    float64 `cbor:"3,keyasint" json:"to"` // 0 while it lasts
	Cause string  `cbor:"4,keyasint" json:"cause"`
}

// Interval is what happened in a stretch of time.
type Interval struct {
	From            float64      `cbor:"1,keyasint" json:"from"`
	Width           float64      `cbor:"2,keyasint" json:"width"` // ms; coarser for old ones
	Placements      uint32       `cbor:"3,keyasint,omitempty" json:"places"`
	Retries         uint32       `cbor:"4,keyasint,omitempty" json:"retries"`
	Connections     uint32       `cbor:"5,keyasint,omitempty" json:"ups"`
	Migrations      uint32       `cbor:"6,keyasint,omitempty" json:"moves"`
	Rejections      uint32       `cbor:"7,keyasint,omitempty" json:"refusals"` // after an attempt there, or of the fleet
	Ends            [8]uint32    `cbor:"8,keyasint" json:"ends"`               // by decide.Status, ends by clients and by us left out
	Probes          uint32       `cbor:"9,keyasint,omitempty" json:"probes"`
	ProbesLost      uint32       `cbor:"10,keyasint,omitempty" json:"probes_lost"`
	OpenConnections int32        `cbor:"11,keyasint,omitempty" json:"held"` // connections at its end
	Load            [3]float32   `cbor:"12,keyasint" json:"load"`           // least, mean, most; negative for none
	Readings        uint32       `cbor:"13,keyasint,omitempty" json:"readings"`
	Setup           [3]float32   `cbor:"14,keyasint" json:"setup_ms"` // median, 99 %, most
	SlowestMessage  float32      `cbor:"15,keyasint,omitempty" json:"message_ms"`
	Dropped         uint32       `cbor:"16,keyasint,omitempty" json:"dropped"` // records that were not folded, on the fleet's line
	Merged          bool         `cbor:"17,keyasint,omitempty" json:"merged"`  // quantiles are the worst of what was merged
	PeerReadings    uint32       `cbor:"18,keyasint,omitempty" json:"told"`    // readings of other relays that were gone by
	RejectReasons   RejectCounts `cbor:"19,keyasint" json:"refusals_by_reason"`
}

// RejectCounts counts refusals and failures by what stood in the way.
type RejectCounts struct {
	Module [decide.MayHaveRun + 1]uint32 `cbor:"1,keyasint" json:"module"` // by decide.Why; none by NoReason
	Relay  [recorder.Operator + 1]uint32 `cbor:"2,keyasint" json:"relay"`  // what the module did not refuse, by who did
}

// add counts the reason of one record of a refusal or a failure.
func (c *RejectCounts) add(r *recorder.Record) {
	if r.Reason != decide.NoReason {
		c.Module[min(r.Reason, decide.MayHaveRun)]++
	} else {
		c.Relay[min(r.Initiator, recorder.Operator)]++
	}
}

// merge adds the counts of another stretch of time.
func (c *RejectCounts) merge(other *RejectCounts) {
	for why, n := range other.Module {
		c.Module[why] += n
	}
	for by, n := range other.Relay {
		c.Relay[by] += n
	}
}

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

// State is what the line's server is in now; 0 if nothing is known.
func (l *ServerTimeline) State() State { return l.state() }

func (l *ServerTimeline) state() State {
	if len(l.States) == 0 {
		return 0
	}
	return l.States[len(l.States)-1].State
}

// OpenConnections is how many connections this relay holds there.
func (l *ServerTimeline) OpenConnections() int { return int(l.openConnections) }

// enterState begins a band, unless the state is the same.
func (b *Timelines) enterState(l *ServerTimeline, at float64, s State, cause string) {
	if l.state() == s {
		return
	}
	if n := len(l.States); n > 0 {
		l.States[n-1].To = at
		if b.Sink.StateChanged != nil {
			b.Sink.StateChanged(l.Name, l.States[n-1])
		}
	}
	if len(l.States) == b.MaxStatePeriods {
		l.DiscardedBefore = max(l.DiscardedBefore, l.States[0].To)
		l.States = append(l.States[:0], l.States[1:]...)
	}
	l.States = append(l.States, StatePeriod{State: s, Name: s.String(), From: at, Cause: cause})
	l.StateChanges++
	if b.Sink.StateChanged != nil {
		b.Sink.StateChanged(l.Name, l.States[len(l.States)-1])
	}
}

// newestInterval finds the newest newestInterval of a line at a time, and closes the one before.
func (b *Timelines) newestInterval(l *ServerTimeline, at float64) *Interval {
	from := math.Floor(at/b.IntervalWidths[0]) * b.IntervalWidths[0]
	t := l.Tiers[0]
	if n := len(t); n > 0 && t[n-1].From >= from {
		return &t[n-1]
	}
	b.completeNewest(l)
	l.Tiers[0] = append(l.Tiers[0], Interval{From: from, Width: b.IntervalWidths[0], OpenConnections: l.openConnections, Load: [3]float32{-1, -1, -1}})
	l.newestReported = false
	b.mergeOldest(l)
	t = l.Tiers[0]
	return &t[len(t)-1]
}

// completeNewest completes the newest step.
func (b *Timelines) completeNewest(l *ServerTimeline) {
	t := l.Tiers[0]
	if len(t) == 0 || l.newestReported {
		return
	}
	l.newestReported = true
	s := &t[len(t)-1]
	s.OpenConnections = l.openConnections
	if l.setups.TotalCount() > 0 {
		s.Setup = [3]float32{micros(l.setups.ValueAtQuantile(50)), micros(l.setups.ValueAtQuantile(99)), micros(l.setups.Max())}
		l.setups.Reset()
	}
	if b.Sink.IntervalComplete != nil {
		b.Sink.IntervalComplete(l.Name, *s)
	}
}

// CompleteAll completes all steps, at the end.
func (b *Timelines) CompleteAll() {
	for _, l := range b.servers {
		b.completeNewest(l)
	}
}

// completeAfter is how long after its end a step is complete: records are folded a moment after they were made.
const completeAfter = 300.0

func micros(us int64) float32 { return float32(us) / 1000 }

// mergeOldest merges the oldest steps of a tier that is full into the next tier's.
func (b *Timelines) mergeOldest(l *ServerTimeline) {
	for i := range l.Tiers {
		for len(l.Tiers[i]) > b.IntervalsKept[i] {
			old := l.Tiers[i][0]
			l.Tiers[i] = append(l.Tiers[i][:0], l.Tiers[i][1:]...)
			if i+1 == len(l.Tiers) {
				l.DiscardedBefore = max(l.DiscardedBefore, old.From+old.Width)
				continue
			}
			from := math.Floor(old.From/b.IntervalWidths[i+1]) * b.IntervalWidths[i+1]
			if n := len(l.Tiers[i+1]); n > 0 && l.Tiers[i+1][n-1].From == from {
				l.Tiers[i+1][n-1] = Merge(l.Tiers[i+1][n-1], old)
			} else {
				old.From, old.Width, old.Merged = from, b.IntervalWidths[i+1], true
				l.Tiers[i+1] = append(l.Tiers[i+1], old)
			}
		}
	}
}

// Merge adds a later step to an earlier one. Quantiles become the worst of both, and the result says so.
func Merge(a, b Interval) Interval {
	a.Placements, a.Retries, a.Connections, a.Migrations = a.Placements+b.Placements, a.Retries+b.Retries, a.Connections+b.Connections, a.Migrations+b.Migrations
	a.Rejections, a.Probes, a.ProbesLost, a.Dropped = a.Rejections+b.Rejections, a.Probes+b.Probes, a.ProbesLost+b.ProbesLost, a.Dropped+b.Dropped
	a.PeerReadings += b.PeerReadings
	a.RejectReasons.merge(&b.RejectReasons)
	for i := range a.Ends {
		a.Ends[i] += b.Ends[i]
	}
	a.OpenConnections = b.OpenConnections
	switch {
	case b.Readings == 0:
	case a.Readings == 0:
		a.Load, a.Readings = b.Load, b.Readings
	default:
		n, m := float32(a.Readings), float32(b.Readings)
		a.Load = [3]float32{min(a.Load[0], b.Load[0]), (a.Load[1]*n + b.Load[1]*m) / (n + m), max(a.Load[2], b.Load[2])}
		a.Readings += b.Readings
	}
	for i := range a.Setup {
		a.Setup[i] = max(a.Setup[i], b.Setup[i])
	}
	a.SlowestMessage, a.Merged = max(a.SlowestMessage, b.SlowestMessage), true
	return a
}

// Intervals lists a line's steps in order of time, the coarse ones first.
func (l *ServerTimeline) Intervals() (all []Interval) {
	for i := len(l.Tiers) - 1; i >= 0; i-- {
		all = append(all, l.Tiers[i]...)
	}
	return all
}

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

// Apply takes one record; name is its server's.
func (b *Timelines) Apply(name string, r *recorder.Record) {
	b.now = max(b.now, r.At)
	if r.Server < 0 {
		name = FleetName
	}
	l := b.server(name)
	s := b.newestInterval(l, r.At)
	switch r.Kind {
	case recorder.EndpointChanged:
		b.applyEndpoint(l, r)
	case recorder.ProbeEnded:
		s.Probes++
		if r.Status == decide.OK && r.Load >= 0 {
			addLoadSample(s, r.Load)
		}
		b.applyProbe(l, s, r)
	case recorder.PeerReading: // evidence of the load; that it answers is for this relay's own eyes
		if s.PeerReadings++; r.Load >= 0 {
			addLoadSample(s, r.Load)
		}
	case recorder.AttemptStarted:
		s.Placements++
		if r.Attempt > 0 {
			s.Retries++
		}
		l.openConnections++
	case recorder.ConnectionUp:
		s.Connections++
		l.setups.RecordValue(max(1, int64(r.Elapsed*1000)))
		b.recovered(l, r.At, "a connection stands")
	case recorder.AttemptEnded:
		l.openConnections = max(0, l.openConnections-1)
		if r.Initiator == recorder.Server {
			s.Ends[min(r.Status, decide.Superseded)]++
			b.applyServerEnd(l, r)
		}
	case recorder.ClientMigrated:
		s.Migrations++
	case recorder.RequestRejected, recorder.RequestFailed:
		s.Rejections++
		s.RejectReasons.add(r)
		if l.Name != FleetName {
			fleet := b.newestInterval(b.server(FleetName), r.At)
			fleet.Rejections++
			fleet.RejectReasons.add(r)
		}
	case recorder.MessageDelayed:
		s.SlowestMessage = max(s.SlowestMessage, float32(r.Elapsed))
	case recorder.RecordsDropped:
		s.Dropped += r.Count
	}
	s.OpenConnections = l.openConnections
}

func addLoadSample(s *Interval, load float32) {
	if s.Readings == 0 {
		s.Load = [3]float32{load, load, load}
	} else {
		n := float32(s.Readings)
		s.Load = [3]float32{min(s.Load[0], load), (s.Load[1]*n + load) / (n + 1), max(s.Load[2], load)}
	}
	s.Readings++
}

func (b *Timelines) applyEndpoint(l *ServerTimeline, r *recorder.Record) {
	l.mode = r.Mode
	switch r.Mode {
	case decide.Draining:
		b.enterState(l, r.At, Draining, "list")
	case decide.Removed:
		b.enterState(l, r.At, Gone, "list")
	default:
		if r.StartedAt != l.startedAt || l.state() == Gone || l.state() == 0 || l.state() == Draining {
			l.startedAt, l.missedProbes, l.failuresInARow = r.StartedAt, 0, 0
			switch {
			case r.StartedAt > 0 && r.At-r.StartedAt < b.SlowStart:
				b.enterState(l, r.At, Warming, fmt.Sprintf("list: started %.1f s ago", (r.At-r.StartedAt)/1000))
			case l.probeAnswered:
				b.enterState(l, r.At, Warm, "list")
			default:
				b.enterState(l, r.At, Listed, "list")
			}
		}
	}
}

func (b *Timelines) applyProbe(l *ServerTimeline, s *Interval, r *recorder.Record) {
	switch r.Status {
	case decide.OK:
		l.probeAnswered = true
		b.recovered(l, r.At, "a probe was answered")
	case decide.TimedOut:
		s.ProbesLost++
		if l.missedProbes++; l.missedProbes >= 2 && l.mode == decide.Ready {
			b.enterState(l, r.At, Unresponsive, fmt.Sprintf("%d probes without an answer", l.missedProbes))
		}
	case decide.ConnectFailed, decide.Reset:
		s.ProbesLost++
		if l.failuresInARow++; l.mode == decide.Ready && l.failuresInARow >= 2 {
			b.enterState(l, r.At, Ejected, "probes: "+r.Status.String())
		}
	case decide.Errored:
		s.ProbesLost++
		if l.failuresInARow++; l.mode == decide.Ready && l.failuresInARow >= 2 {
			b.enterState(l, r.At, Ejected, "probes are answered with errors")
		}
	}
}

// applyServerEnd looks at a connection or an attempt that the server applyServerEnd.
func (b *Timelines) applyServerEnd(l *ServerTimeline, r *recorder.Record) {
	switch r.Status {
	case decide.ConnectFailed, decide.Errored:
		if l.failuresInARow++; l.failuresInARow >= 2 && l.mode == decide.Ready {
			b.enterState(l, r.At, Ejected, "connections: "+r.Status.String())
		}
	}
}

// recovered ends a state that was a fault.
func (b *Timelines) recovered(l *ServerTimeline, at float64, cause string) {
	l.missedProbes, l.failuresInARow = 0, 0
	if s := l.state(); s != Unresponsive && s != Ejected && s != Listed {
		return
	}
	if l.mode == decide.Ready && l.startedAt > 0 && at-l.startedAt < b.SlowStart {
		b.enterState(l, at, Warming, "back: "+cause)
		return
	}
	b.enterState(l, at, Warm, cause)
}
