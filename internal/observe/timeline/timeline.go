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
	Listed   State = iota + 1 // ready by the list, nothing read yet
	Warming                   // just started
	Warm                      // in use
	Draining                  // wants nothing new, by the list
	Gone                      // by the list
	Silent                    // answers nothing, without a reset
	LeftOut                   // refuses connections or errs: nothing is sent there
)

var stateNames = [...]string{"", "listed", "warming", "warm", "draining", "gone", "silent", "left out"}

func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// Band is a state from then to then.
type Band struct {
	State State   `cbor:"1,keyasint" json:"-"`
	Name  string  `cbor:"-" json:"state"`
	From  float64 `cbor:"2,keyasint" json:"from"`
	To    float64 `cbor:"3,keyasint" json:"to"` // 0 while it lasts
	Cause string  `cbor:"4,keyasint" json:"cause"`
}

// Step is what happened in a stretch of time.
type Step struct {
	From     float64    `cbor:"1,keyasint" json:"from"`
	Width    float64    `cbor:"2,keyasint" json:"width"` // ms; coarser for old ones
	Places   uint32     `cbor:"3,keyasint,omitempty" json:"places"`
	Retries  uint32     `cbor:"4,keyasint,omitempty" json:"retries"`
	Ups      uint32     `cbor:"5,keyasint,omitempty" json:"ups"`
	Moves    uint32     `cbor:"6,keyasint,omitempty" json:"moves"`
	Refusals uint32     `cbor:"7,keyasint,omitempty" json:"refusals"` // after an attempt there, or of the fleet
	Ends     [8]uint32  `cbor:"8,keyasint" json:"ends"`               // by decide.Status, ends by clients and by us left out
	Probes   uint32     `cbor:"9,keyasint,omitempty" json:"probes"`
	Lost     uint32     `cbor:"10,keyasint,omitempty" json:"probes_lost"`
	Held     int32      `cbor:"11,keyasint,omitempty" json:"held"` // connections at its end
	Load     [3]float32 `cbor:"12,keyasint" json:"load"`           // least, mean, most; negative for none
	Readings uint32     `cbor:"13,keyasint,omitempty" json:"readings"`
	Setup    [3]float32 `cbor:"14,keyasint" json:"setup_ms"` // median, 99 %, most
	Slow     float32    `cbor:"15,keyasint,omitempty" json:"message_ms"`
	Dropped  uint32     `cbor:"16,keyasint,omitempty" json:"dropped"` // records that were not folded, on the fleet's line
	Merged   bool       `cbor:"17,keyasint,omitempty" json:"merged"`  // quantiles are the worst of what was merged
	Told     uint32     `cbor:"18,keyasint,omitempty" json:"told"`    // readings of other relays that were gone by
	Reasons  Reasons    `cbor:"19,keyasint" json:"refusals_by_reason"`
}

// Reasons counts refusals and failures by what stood in the way.
type Reasons struct {
	Module [decide.MayHaveRun + 1]uint32 `cbor:"1,keyasint" json:"module"` // by decide.Why; none by NoReason
	Relay  [recorder.Operator + 1]uint32 `cbor:"2,keyasint" json:"relay"`  // what the module did not refuse, by who did
}

// add counts the reason of one record of a refusal or a failure.
func (c *Reasons) add(r *recorder.Record) {
	if r.Why != decide.NoReason {
		c.Module[min(r.Why, decide.MayHaveRun)]++
	} else {
		c.Relay[min(r.By, recorder.Operator)]++
	}
}

// merge adds the counts of another stretch of time.
func (c *Reasons) merge(other *Reasons) {
	for why, n := range other.Module {
		c.Module[why] += n
	}
	for by, n := range other.Relay {
		c.Relay[by] += n
	}
}

// Limits bound what is kept in memory.
type Limits struct {
	Widths  []float64 // of steps, rising multiples; older steps are merged into the next
	Keep    []int     // steps of each width
	Bands   int       // of one line
	Lines   int
	Warming float64 // ms in which a server that has started counts as warming
}

// Default limits: about 40 KB a server.
func Default() Limits {
	return Limits{Widths: []float64{1000, 10_000, 60_000}, Keep: []int{120, 180, 120}, Bands: 64, Lines: 512, Warming: 10_000}
}

// Fleet is the name of the line of what concerns no single server.
const Fleet = ""

// Line is one server's.
type Line struct {
	Name      string
	Bands     []Band
	Tiers     [][]Step // the finest first, each in order of time
	Forgotten float64  // what was before is kept no more, 0 if nothing
	Changes   int      // bands so far, with those forgotten

	held    int32
	since   float64
	mode    decide.EndpointState
	unheard int // probes without an answer in a row
	faults  int // connections that failed in a row
	read    bool
	setups  *hdr.Histogram // of the newest step
	sealed  bool           // the newest step has been told to the sink
	touched float64
}

// Sink is told what a Line closes, for a store. Both may be nil.
type Sink struct {
	Band func(line string, b Band) // begun, or ended where To is set
	Step func(line string, s Step) // complete
}

// Book is all lines.
type Book struct {
	Limits
	Sink    Sink
	lines   map[string]*Line
	Evicted int // lines that had to make room
	now     float64
}

// New returns a Book without lines.
func New(l Limits) *Book { return &Book{Limits: l, lines: map[string]*Line{}} }

// Line finds a line; nil if there is none.
func (b *Book) Line(name string) *Line { return b.lines[name] }

// Names lists the lines in order.
func (b *Book) Names() []string {
	names := make([]string, 0, len(b.lines))
	for name := range b.lines {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// line finds or begins a line. The line that has been gone for the longest makes room, or else the one that
// nothing was heard of for the longest.
func (b *Book) line(name string) *Line {
	l := b.lines[name]
	if l == nil {
		if len(b.lines) >= b.Lines {
			b.evict()
		}
		l = &Line{Name: name, Tiers: make([][]Step, len(b.Widths)), setups: hdr.New(1, 120_000_000, 2)}
		b.lines[name] = l
	}
	l.touched = b.now
	return l
}

func (b *Book) evict() {
	var oldest *Line
	for _, l := range b.lines {
		if l.Name == Fleet {
			continue
		}
		if gone := l.state() == Gone; oldest == nil || gone && oldest.state() != Gone ||
			gone == (oldest.state() == Gone) && (l.touched < oldest.touched || l.touched == oldest.touched && l.Name < oldest.Name) {
			oldest = l
		}
	}
	if oldest != nil {
		b.seal(oldest)
		delete(b.lines, oldest.Name)
		b.Evicted++
	}
}

// State is what the line's server is in now; 0 if nothing is known.
func (l *Line) State() State { return l.state() }

func (l *Line) state() State {
	if len(l.Bands) == 0 {
		return 0
	}
	return l.Bands[len(l.Bands)-1].State
}

// Held is how many connections this relay holds there.
func (l *Line) Held() int { return int(l.held) }

// enter begins a band, unless the state is the same.
func (b *Book) enter(l *Line, at float64, s State, cause string) {
	if l.state() == s {
		return
	}
	if n := len(l.Bands); n > 0 {
		l.Bands[n-1].To = at
		if b.Sink.Band != nil {
			b.Sink.Band(l.Name, l.Bands[n-1])
		}
	}
	if len(l.Bands) == b.Bands {
		l.Forgotten = max(l.Forgotten, l.Bands[0].To)
		l.Bands = append(l.Bands[:0], l.Bands[1:]...)
	}
	l.Bands = append(l.Bands, Band{State: s, Name: s.String(), From: at, Cause: cause})
	l.Changes++
	if b.Sink.Band != nil {
		b.Sink.Band(l.Name, l.Bands[len(l.Bands)-1])
	}
}

// step finds the newest step of a line at a time, and closes the one before.
func (b *Book) step(l *Line, at float64) *Step {
	from := math.Floor(at/b.Widths[0]) * b.Widths[0]
	t := l.Tiers[0]
	if n := len(t); n > 0 && t[n-1].From >= from {
		return &t[n-1]
	}
	b.seal(l)
	l.Tiers[0] = append(l.Tiers[0], Step{From: from, Width: b.Widths[0], Held: l.held, Load: [3]float32{-1, -1, -1}})
	l.sealed = false
	b.thin(l)
	t = l.Tiers[0]
	return &t[len(t)-1]
}

// seal completes the newest step.
func (b *Book) seal(l *Line) {
	t := l.Tiers[0]
	if len(t) == 0 || l.sealed {
		return
	}
	l.sealed = true
	s := &t[len(t)-1]
	s.Held = l.held
	if l.setups.TotalCount() > 0 {
		s.Setup = [3]float32{micros(l.setups.ValueAtQuantile(50)), micros(l.setups.ValueAtQuantile(99)), micros(l.setups.Max())}
		l.setups.Reset()
	}
	if b.Sink.Step != nil {
		b.Sink.Step(l.Name, *s)
	}
}

// Seal completes all steps, at the end.
func (b *Book) Seal() {
	for _, l := range b.lines {
		b.seal(l)
	}
}

// sealAfter is how long after its end a step is complete: records are folded a moment after they were made.
const sealAfter = 300.0

func micros(us int64) float32 { return float32(us) / 1000 }

// thin merges the oldest steps of a tier that is full into the next tier's.
func (b *Book) thin(l *Line) {
	for i := range l.Tiers {
		for len(l.Tiers[i]) > b.Keep[i] {
			old := l.Tiers[i][0]
			l.Tiers[i] = append(l.Tiers[i][:0], l.Tiers[i][1:]...)
			if i+1 == len(l.Tiers) {
				l.Forgotten = max(l.Forgotten, old.From+old.Width)
				continue
			}
			from := math.Floor(old.From/b.Widths[i+1]) * b.Widths[i+1]
			if n := len(l.Tiers[i+1]); n > 0 && l.Tiers[i+1][n-1].From == from {
				l.Tiers[i+1][n-1] = Merge(l.Tiers[i+1][n-1], old)
			} else {
				old.From, old.Width, old.Merged = from, b.Widths[i+1], true
				l.Tiers[i+1] = append(l.Tiers[i+1], old)
			}
		}
	}
}

// Merge adds a later step to an earlier one. Quantiles become the worst of both, and the result says so.
func Merge(a, b Step) Step {
	a.Places, a.Retries, a.Ups, a.Moves = a.Places+b.Places, a.Retries+b.Retries, a.Ups+b.Ups, a.Moves+b.Moves
	a.Refusals, a.Probes, a.Lost, a.Dropped = a.Refusals+b.Refusals, a.Probes+b.Probes, a.Lost+b.Lost, a.Dropped+b.Dropped
	a.Told += b.Told
	a.Reasons.merge(&b.Reasons)
	for i := range a.Ends {
		a.Ends[i] += b.Ends[i]
	}
	a.Held = b.Held
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
	a.Slow, a.Merged = max(a.Slow, b.Slow), true
	return a
}

// Steps lists a line's steps in order of time, the coarse ones first.
func (l *Line) Steps() (all []Step) {
	for i := len(l.Tiers) - 1; i >= 0; i-- {
		all = append(all, l.Tiers[i]...)
	}
	return all
}

// Tick lets time pass: servers that have been started long enough are warm.
func (b *Book) Tick(now float64) {
	b.now = max(b.now, now)
	for _, l := range b.lines {
		if t := l.Tiers[0]; len(t) > 0 && now >= t[len(t)-1].From+b.Widths[0]+sealAfter {
			b.seal(l)
		}
		if l.state() == Warming && now-l.since >= b.Warming {
			b.enter(l, max(l.since+b.Warming, l.Bands[len(l.Bands)-1].From), Warm, "warmed up")
		}
	}
}

// Fold takes one record; name is its server's.
func (b *Book) Fold(name string, r *recorder.Record) {
	b.now = max(b.now, r.At)
	if r.Server < 0 {
		name = Fleet
	}
	l := b.line(name)
	s := b.step(l, r.At)
	switch r.Kind {
	case recorder.List:
		b.list(l, r)
	case recorder.Probe:
		s.Probes++
		if r.Status == decide.OK && r.Load >= 0 {
			reading(s, r.Load)
		}
		b.probe(l, s, r)
	case recorder.Told: // evidence of the load; that it answers is for this relay's own eyes
		if s.Told++; r.Load >= 0 {
			reading(s, r.Load)
		}
	case recorder.Place:
		s.Places++
		if r.Attempt > 0 {
			s.Retries++
		}
		l.held++
	case recorder.Up:
		s.Ups++
		l.setups.RecordValue(max(1, int64(r.Took*1000)))
		b.well(l, r.At, "a connection stands")
	case recorder.End:
		l.held = max(0, l.held-1)
		if r.By == recorder.Server {
			s.Ends[min(r.Status, decide.Superseded)]++
			b.ended(l, r)
		}
	case recorder.Move:
		s.Moves++
	case recorder.Refuse, recorder.Fail:
		s.Refusals++
		s.Reasons.add(r)
		if l.Name != Fleet {
			fleet := b.step(b.line(Fleet), r.At)
			fleet.Refusals++
			fleet.Reasons.add(r)
		}
	case recorder.Delay:
		s.Slow = max(s.Slow, float32(r.Took))
	case recorder.Dropped:
		s.Dropped += r.Count
	}
	s.Held = l.held
}

func reading(s *Step, load float32) {
	if s.Readings == 0 {
		s.Load = [3]float32{load, load, load}
	} else {
		n := float32(s.Readings)
		s.Load = [3]float32{min(s.Load[0], load), (s.Load[1]*n + load) / (n + 1), max(s.Load[2], load)}
	}
	s.Readings++
}

func (b *Book) list(l *Line, r *recorder.Record) {
	l.mode = r.Mode
	switch r.Mode {
	case decide.Draining:
		b.enter(l, r.At, Draining, "list")
	case decide.Removed:
		b.enter(l, r.At, Gone, "list")
	default:
		if r.Since != l.since || l.state() == Gone || l.state() == 0 || l.state() == Draining {
			l.since, l.unheard, l.faults = r.Since, 0, 0
			switch {
			case r.Since > 0 && r.At-r.Since < b.Warming:
				b.enter(l, r.At, Warming, fmt.Sprintf("list: started %.1f s ago", (r.At-r.Since)/1000))
			case l.read:
				b.enter(l, r.At, Warm, "list")
			default:
				b.enter(l, r.At, Listed, "list")
			}
		}
	}
}

func (b *Book) probe(l *Line, s *Step, r *recorder.Record) {
	switch r.Status {
	case decide.OK:
		l.read = true
		b.well(l, r.At, "a probe was answered")
	case decide.TimedOut:
		s.Lost++
		if l.unheard++; l.unheard >= 2 && l.mode == decide.Ready {
			b.enter(l, r.At, Silent, fmt.Sprintf("%d probes without an answer", l.unheard))
		}
	case decide.ConnectFailed, decide.Reset:
		s.Lost++
		if l.faults++; l.mode == decide.Ready && l.faults >= 2 {
			b.enter(l, r.At, LeftOut, "probes: "+r.Status.String())
		}
	case decide.Errored:
		s.Lost++
		if l.faults++; l.mode == decide.Ready && l.faults >= 2 {
			b.enter(l, r.At, LeftOut, "probes are answered with errors")
		}
	}
}

// ended looks at a connection or an attempt that the server ended.
func (b *Book) ended(l *Line, r *recorder.Record) {
	switch r.Status {
	case decide.ConnectFailed, decide.Errored:
		if l.faults++; l.faults >= 2 && l.mode == decide.Ready {
			b.enter(l, r.At, LeftOut, "connections: "+r.Status.String())
		}
	}
}

// well ends a state that was a fault.
func (b *Book) well(l *Line, at float64, cause string) {
	l.unheard, l.faults = 0, 0
	if s := l.state(); s != Silent && s != LeftOut && s != Listed {
		return
	}
	if l.mode == decide.Ready && l.since > 0 && at-l.since < b.Warming {
		b.enter(l, at, Warming, "back: "+cause)
		return
	}
	b.enter(l, at, Warm, cause)
}
