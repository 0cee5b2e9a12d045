// Package watch is the driver round time lines and departures for one relay: it takes the recorder's records, folds them,
// keeps what is closed in a store, and answers questions. Times are Unix times in milliseconds, by the relay's own
// clock.
package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

const (
	foldEvery     = 100 * time.Millisecond // between two looks at the recorder
	rowWidth      = 10_000.0               // ms of a row of steps in the store; the newest is written over each second
	rowWriteEvery = 1000.0
	maxEvents     = 2048
	maxFollowers  = 16
)

// ServerNames tells the ids of the servers that records name by number; a relay.RequestTable does.
type ServerNames interface {
	// ServerIDs appends the ids of the servers from a number on, in the order of their numbers.
	ServerIDs(from int, out []string) []string
}

// Clock is the clock of the records; a relay.Clock is one.
type Clock interface {
	Now() time.Duration
	// Wall turns an instant of the clock into the wall clock's.
	Wall(at time.Duration) time.Time
	// After returns a channel that gets the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Config says what is kept.
type Config struct {
	Relay      string
	Buffer     int // records that wait to be folded
	Limits     timeline.Limits
	MaxServers int          // servers that departures are looked for at
	Store      *store.Store // nil for none
}

// Watcher is one relay's.
type Watcher struct {
	Config
	// Recorder takes what happens. It is handed to the front before that is used.
	Recorder *recorder.Recorder

	servers ServerNames
	clock   Clock
	log     zerolog.Logger

	mu             sync.Mutex
	timelines      *timeline.Timelines
	detector       *anomaly.Detector
	serverNames    []string
	events         []anomaly.Event // ended ones and those that last, by their beginnings
	recordsDropped uint64
	recordsFolded  uint64
	openRows       map[string]*timeline.Interval // the open row of each line
	rowsWrittenAt  float64
	followers      map[chan anomaly.Event]bool
	spareRecords   []recorder.Record
	changes        []anomaly.Change
}

// New returns a Watcher of one front, with a Recorder for it.
func New(c Config, servers ServerNames, clock Clock, log zerolog.Logger) *Watcher {
	w := &Watcher{
		Config:    c,
		Recorder:  recorder.New(c.Buffer),
		servers:   servers,
		clock:     clock,
		log:       log,
		timelines: timeline.New(c.Limits, clock.Wall),
		detector:  anomaly.New(c.MaxServers, clock.Wall),
		openRows:  map[string]*timeline.Interval{},
		followers: map[chan anomaly.Event]bool{},
	}
	if c.Store != nil {
		w.timelines.Sink = timeline.Sink{StateChanged: w.statePeriodChanged, IntervalComplete: w.addToRow}
	}
	return w
}

// unixMs is an instant as rows and reports have it.
func (w *Watcher) unixMs(at time.Duration) float64 {
	return float64(w.clock.Wall(at).UnixNano()) / 1e6
}

// Run folds until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.Fold()
			w.WriteOpenRows()
			return
		case <-w.Recorder.Ready():
		case <-w.clock.After(foldEvery):
		}
		w.Fold()
	}
}

// Fold takes what the tap has. The end of a relay calls it beside Run, and spare may be in one hand only.
func (w *Watcher) Fold() {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := w.Recorder.TakeAll(w.spareRecords)
	for i := range records {
		r := &records[i]
		w.applyRecord(r)
	}
	w.spareRecords = records[:0]
	w.tick(w.clock.Now())
}

func (w *Watcher) applyRecord(r *recorder.Record) {
	name := timeline.FleetName
	if r.Server >= 0 {
		if int(r.Server) >= len(w.serverNames) {
			w.serverNames = w.servers.ServerIDs(len(w.serverNames), w.serverNames)
		}
		name = w.serverNames[r.Server]
	}
	w.recordsFolded++
	if r.Kind == recorder.RecordsDropped {
		w.recordsDropped += uint64(r.Count)
	}
	w.timelines.Apply(name, r)
	w.detector.Observe(name, r)
	w.detectAnomalies(r.At)
}

// detectAnomalies lets departures be looked for at a time.
func (w *Watcher) detectAnomalies(at time.Duration) {
	w.changes = w.detector.Tick(at, w.changes[:0])
	for _, c := range w.changes {
		w.eventChanged(c.Event)
	}
}

func (w *Watcher) tick(at time.Duration) {
	w.timelines.Tick(at)
	w.detectAnomalies(at)
	now := w.unixMs(at)
	if w.Store != nil && now-w.rowsWrittenAt >= rowWriteEvery {
		w.rowsWrittenAt = now
		for name, row := range w.openRows {
			w.writeRow(name, row)
			if now-row.From > rowWidth+rowWriteEvery {
				delete(w.openRows, name)
			}
		}
	}
}

// eventChanged notes an event that has begun or ended.
func (w *Watcher) eventChanged(e anomaly.Event) {
	line := w.log.Info().Str("server", e.Server).Str("event", e.Name).Str("evidence", e.Evidence)
	switch {
	case e.Kind == anomaly.RelayChanged: // whoever heard of it has a line for it
	case e.To != 0:
		line.Msg("departure ended")
	default:
		line.Float64("confidence", e.Confidence).Msg("departure")
	}
	i := slices.IndexFunc(w.events, func(o anomaly.Event) bool {
		return o.Server == e.Server && o.Kind == e.Kind && o.From == e.From
	})
	if i >= 0 {
		w.events[i] = e
	} else {
		if len(w.events) == maxEvents {
			w.events = append(w.events[:0], w.events[1:]...)
		}
		w.events = append(w.events, e)
	}
	if w.Store != nil {
		w.appendToStore(bucketEvents, int64(e.From), e.Name+"\x00"+e.Server, e)
	}
	for c := range w.followers {
		select {
		case c <- e:
		default: // it reads too slowly: it is told of no more
			delete(w.followers, c)
			close(c)
		}
	}
}

// RelayChanged puts word of another relay on the list of events: what it is now, and how that is known.
func (w *Watcher) RelayChanged(relay, state, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.unixMs(w.clock.Now())
	what := "relay " + relay + ": " + state
	if relay == "" {
		what = "this relay: " + state
	}
	if cause != "" {
		what += " (" + cause + ")"
	}
	w.eventChanged(anomaly.Event{Kind: anomaly.RelayChanged, Name: anomaly.RelayChanged.String(), From: at, To: at, Evidence: what, Confidence: 1})
}

// The store's buckets.
const (
	bucketStatePeriods = "bands"
	bucketIntervals    = "steps"
	bucketEvents       = "events"
)

func (w *Watcher) appendToStore(bucket string, at int64, id string, v any) {
	text, err := cbor.Marshal(v)
	if err != nil {
		w.log.Error().Err(err).Msg("row cannot be written")
		return
	}
	w.Store.Append(bucket, at, id, text)
}

func (w *Watcher) statePeriodChanged(line string, b timeline.StatePeriod) {
	w.appendToStore(bucketStatePeriods, int64(b.From), line, b)
}

// addToRow adds a addToRow of the finest width to the line's open row.
func (w *Watcher) addToRow(line string, s timeline.Interval) {
	from := float64(int64(s.From/rowWidth)) * rowWidth
	row := w.openRows[line]
	if row != nil && row.From != from {
		w.writeRow(line, row)
		row = nil
	}
	if row == nil {
		s.From, s.Width = from, rowWidth
		w.openRows[line] = &s
		return
	}
	merged := timeline.Merge(*row, s)
	*row = merged
}

func (w *Watcher) writeRow(line string, row *timeline.Interval) {
	w.appendToStore(bucketIntervals, int64(row.From), line, row)
}

// WriteOpenRows writes what is open to the store's queue.
func (w *Watcher) WriteOpenRows() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Store != nil {
		w.timelines.CompleteAll()
		for name, row := range w.openRows {
			w.writeRow(name, row)
		}
	}
}

// Follow returns a channel of events as they begin and end. It is closed when its reader is too slow; nil if there
// are too many. Call stop at the end.
func (w *Watcher) Follow() (events <-chan anomaly.Event, stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.followers) >= maxFollowers {
		return nil, func() {}
	}
	c := make(chan anomaly.Event, 256)
	w.followers[c] = true
	return c, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.followers, c)
	}
}

// Report answers a question from memory.
func (w *Watcher) Report(q report.Query) *report.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.unixMs(w.clock.Now())
	r := &report.Report{Relay: w.Relay, At: now, Dropped: w.recordsDropped, Evicted: w.timelines.Evicted}
	if w.Store != nil {
		if err := w.Store.WriteError(); err != nil {
			r.Store = err.Error()
		}
		r.Dropped += w.Store.DroppedRows()
	}
	for _, name := range w.timelines.Names() {
		if !q.Includes(name) {
			continue
		}
		l := w.timelines.Server(name)
		r.Servers = append(r.Servers, report.Server{Name: name, State: l.State().String(), OpenConnections: l.OpenConnections(),
			States: slices.Clone(l.States), Intervals: l.Intervals(), DiscardedBefore: l.DiscardedBefore})
	}
	events := slices.Clone(w.events)
	for _, c := range w.detector.Active() { // with the evidence that there is now
		for i, e := range events {
			if e.Server == c.Server && e.Kind == c.Kind && e.From == c.From {
				events[i] = c
			}
		}
	}
	r.AddEvents(events, q)
	r.Restrict(q)
	return r
}

// FromStore answers a question from a store, of a daemon that need not run.
func FromStore(s *store.Store, q report.Query) (*report.Report, error) {
	r := &report.Report{At: float64(time.Now().UnixMilli())}
	lines := map[string]*report.Server{}
	line := func(name string) *report.Server {
		l := lines[name]
		if l == nil {
			l = &report.Server{Name: name}
			lines[name] = l
		}
		return l
	}
	from, to := int64(q.From), int64(q.To)
	if to == 0 {
		to = 1<<62 - 1
	}
	var bad error
	err := s.Scan(bucketIntervals, from, to, func(_ int64, id string, v []byte) bool {
		if q.Includes(id) {
			var step timeline.Interval
			if bad = cbor.Unmarshal(v, &step); bad != nil {
				return false
			}
			l := line(id)
			l.Intervals = append(l.Intervals, step)
			r.At = step.From + step.Width
		}
		return true
	})
	if err == nil {
		err = s.Scan(bucketStatePeriods, 0, to, func(_ int64, id string, v []byte) bool {
			if q.Includes(id) {
				var b timeline.StatePeriod
				if bad = cbor.Unmarshal(v, &b); bad != nil {
					return false
				}
				b.Name = b.State.String()
				l := line(id)
				if n := len(l.States); n > 0 && l.States[n-1].To == 0 { // the daemon ended before it could say
					l.States[n-1].To = b.From
				}
				l.States = append(l.States, b)
				l.State = b.Name
			}
			return true
		})
	}
	var events []anomaly.Event
	if err == nil {
		err = s.Scan(bucketEvents, 0, to, func(_ int64, _ string, v []byte) bool {
			var e anomaly.Event
			if bad = cbor.Unmarshal(v, &e); bad != nil {
				return false
			}
			e.Name = e.Kind.String()
			events = append(events, e)
			return true
		})
	}
	if err = firstOf(err, bad); err != nil {
		return nil, err
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		r.Servers = append(r.Servers, *lines[name])
	}
	r.AddEvents(events, q)
	r.Restrict(q)
	return r, nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
