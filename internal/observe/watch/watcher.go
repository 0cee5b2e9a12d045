package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

// applyInterval is the longest time between two folds.
const applyInterval = 100 * time.Millisecond

// ServerIDLister tells the ids of the servers that records name by number; a relay.RequestTable does.
type ServerIDLister interface {
	// ServerIDs appends the ids of the servers from a number on, in the order of their numbers.
	ServerIDs(from int, out []string) []string
}

// Clock is the clock of the records; a relay.Clock is one.
type Clock interface {
	// Now is the time since an arbitrary origin.
	Now() time.Duration
	// Wall turns an instant of the clock into the wall clock's.
	Wall(at time.Duration) time.Time
	// After returns a channel that gets the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Config says what is kept.
type Config struct {
	RelayName    string          // its name in reports
	RecordBuffer int             // records that may wait to be folded
	Limits       timeline.Limits // of the timelines in memory
	MaxServers   int             // servers that anomalies are looked for at
	Store        *store.Store    // nil for none
}

// Watcher is one front's timelines, anomaly detection and rows. Its methods may be called from any goroutine.
type Watcher struct {
	Config
	// Recorder takes what happens. The front is given it before it serves.
	Recorder *recorder.Recorder

	serverIDLister ServerIDLister
	clock          Clock

	mu             sync.Mutex // guards what follows
	timelines      *timeline.Timelines
	detector       *anomaly.Detector
	events         *eventLog
	rows           *rowWriter // nil without a store
	serverIDs      []string   // by the numbers that records have
	recordsDropped uint64
	spareRecords   []recorder.Record
	changes        []anomaly.Change
}

// New returns a Watcher of one front, with a Recorder for it.
func New(c Config, servers ServerIDLister, clock Clock, log zerolog.Logger) *Watcher {
	w := &Watcher{
		Config:         c,
		Recorder:       recorder.New(c.RecordBuffer),
		serverIDLister: servers,
		clock:          clock,
		timelines:      timeline.New(c.Limits, clock.Wall),
		detector:       anomaly.New(c.MaxServers, clock.Wall),
	}
	if c.Store != nil {
		w.rows = newRowWriter(c.Store, log)
		w.timelines.Sink = timeline.Sink{
			StateChanged:     w.rows.writeState,
			IntervalComplete: w.rows.addInterval,
		}
	}
	w.events = newEventLog(w.rows, log)
	return w
}

// unixMs is an instant as rows and reports have it.
func (w *Watcher) unixMs(at time.Duration) float64 {
	return float64(w.clock.Wall(at).UnixNano()) / 1e6
}

// Run folds records until the context ends, then once more, and writes the open rows.
func (w *Watcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.ApplyRecords()
			w.WriteOpenRows()
			return
		case <-w.Recorder.Ready():
		case <-w.clock.After(applyInterval):
		}
		w.ApplyRecords()
	}
}

// ApplyRecords applies the records that the recorder has.
func (w *Watcher) ApplyRecords() {
	w.mu.Lock() // before TakeAll: the shutdown folds beside Run, and the spare slice may be in one hand only
	defer w.mu.Unlock()
	records := w.Recorder.TakeAll(w.spareRecords)
	for i := range records {
		w.applyRecord(&records[i])
	}
	w.spareRecords = records[:0]
	w.tick(w.clock.Now())
}

func (w *Watcher) applyRecord(r *recorder.Record) {
	name := w.serverID(r.Server)
	if r.Kind == recorder.RecordsDropped {
		w.recordsDropped += uint64(r.Count)
	}
	w.timelines.Apply(name, r)
	w.detector.Observe(name, r)
	w.detectAnomalies(r.At)
}

// serverID is the id of the server that records name by a number, the fleet's where that is negative.
func (w *Watcher) serverID(number int32) string {
	if number < 0 {
		return timeline.FleetName
	}
	if int(number) >= len(w.serverIDs) {
		w.serverIDs = w.serverIDLister.ServerIDs(len(w.serverIDs), w.serverIDs)
	}
	return w.serverIDs[number]
}

// detectAnomalies records the events that have begun or ended by an instant.
func (w *Watcher) detectAnomalies(at time.Duration) {
	w.changes = w.detector.Tick(at, w.changes[:0])
	for _, change := range w.changes {
		w.events.record(change.Event)
	}
}

func (w *Watcher) tick(at time.Duration) {
	w.timelines.Tick(at)
	w.detectAnomalies(at)
	if w.rows != nil {
		w.rows.writeOpenRowsIfDue(w.unixMs(at))
	}
}

// RecordRelayChange puts a change of another relay on the list of events: what it is now, and how that is known.
// The name is empty for this relay.
func (w *Watcher) RecordRelayChange(relay, state, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	what := "relay " + relay + ": " + state
	if relay == "" {
		what = "this relay: " + state
	}
	if cause != "" {
		what += " (" + cause + ")"
	}
	at := w.unixMs(w.clock.Now())
	w.events.record(anomaly.Event{
		Kind:       anomaly.RelayChanged,
		Name:       anomaly.RelayChanged.String(),
		From:       at,
		To:         at,
		Evidence:   what,
		Confidence: 1,
	})
}

// WriteOpenRows puts the rows that are not complete into the store's queue.
func (w *Watcher) WriteOpenRows() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rows == nil {
		return
	}
	w.timelines.CompleteAll()
	w.rows.writeOpenRows()
}

// FollowEvents returns a channel of events as they begin and end. It is closed when its reader is too slow; nil if
// there are too many. Call stop at the end; a second call does nothing.
func (w *Watcher) FollowEvents() (events <-chan anomaly.Event, stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	follower := w.events.addFollower()
	if follower == nil {
		return nil, func() {}
	}
	return follower, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.events.removeFollower(follower)
	}
}
