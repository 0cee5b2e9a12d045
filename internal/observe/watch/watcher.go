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

// applyInterval is the longest time between two calls of ApplyRecords.
const applyInterval = 100 * time.Millisecond

// ServerIDLister returns the ids of the servers, which records identify by number. A relay.RequestTable
// implements it.
type ServerIDLister interface {
	// ServerIDs appends the ids of the servers with numbers of at least from, in the order of their numbers.
	ServerIDs(from int, out []string) []string
}

// Clock is the clock of the records. A relay.Clock implements it.
type Clock interface {
	// Now returns the time since an arbitrary origin.
	Now() time.Duration
	// Wall converts an instant of the clock to wall clock time.
	Wall(at time.Duration) time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Config configures a Watcher.
type Config struct {
	RelayName    string          // the relay's name in reports
	RecordBuffer int             // capacity of the recorder, in records
	Limits       timeline.Limits // limits of the timelines in memory
	MaxServers   int             // servers that the anomaly detector tracks at most
	Store        *store.Store    // nil for no store
}

// Watcher holds the timelines, the anomaly detector and the row writer of one front. Its methods are safe for
// concurrent use.
type Watcher struct {
	Config
	// Recorder buffers the front's records. The front must get it before it serves.
	Recorder *recorder.Recorder

	serverIDLister ServerIDLister
	clock          Clock

	mu             sync.Mutex // guards the fields below
	timelines      *timeline.Timelines
	detector       *anomaly.Detector
	events         *eventLog
	rows           *rowWriter // nil if there is no store
	serverIDs      []string   // index: the server number in records
	recordsDropped uint64
	spareRecords   []recorder.Record
	changes        []anomaly.Change
}

// New returns a Watcher and its Recorder for one front.
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

// unixMs converts an instant to Unix milliseconds, the unit of the times of rows and reports.
func (w *Watcher) unixMs(at time.Duration) float64 {
	return float64(w.clock.Wall(at).UnixNano()) / 1e6
}

// Run applies records until the context ends. It then applies the remaining records and writes the open rows.
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

// ApplyRecords takes the records from the recorder and applies them.
func (w *Watcher) ApplyRecords() {
	w.mu.Lock() // before TakeAll: Run and the shutdown may call this at once with one spare slice
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

// serverID returns the id of the server with a number, or the name of the fleet if the number is negative.
func (w *Watcher) serverID(number int32) string {
	if number < 0 {
		return timeline.FleetName
	}
	if int(number) >= len(w.serverIDs) {
		w.serverIDs = w.serverIDLister.ServerIDs(len(w.serverIDs), w.serverIDs)
	}
	return w.serverIDs[number]
}

// detectAnomalies records the events that have begun or ended up to an instant.
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

// RecordRelayChange records an event for a change of a relay: its new state and how that is known. The name
// is empty for this relay.
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

// WriteOpenRows completes all intervals and adds the open rows to the store's queue.
func (w *Watcher) WriteOpenRows() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rows == nil {
		return
	}
	w.timelines.CompleteAll()
	w.rows.writeOpenRows()
}

// FollowEvents returns a channel that receives events as they begin and end, or nil if there are too many
// followers. The channel is closed if its reader is too slow. The caller must call stop when done; a second
// call does nothing.
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
