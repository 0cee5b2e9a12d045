package watch

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

// The buckets of the store. Their names are stored.
const (
	bucketStatePeriods = "bands"
	bucketIntervals    = "steps"
	bucketEvents       = "events"
)

// Durations in ms, the unit of the times of rows.
const (
	rowWidthMs         = 10_000.0 // width of a row of intervals
	rowWriteIntervalMs = 1000.0   // time between two writes of the open rows
)

// rowWriter adds rows to the store's queue. It merges intervals of the finest width into rows of rowWidthMs.
// The newest row of each server is open: later intervals may be merged into it. The Watcher's lock guards it.
type rowWriter struct {
	store         *store.Store
	openRows      map[string]*timeline.Interval // by server
	lastWrittenAt float64                       // when the open rows were last written, Unix ms
	log           zerolog.Logger
}

func newRowWriter(s *store.Store, log zerolog.Logger) *rowWriter {
	return &rowWriter{
		store:    s,
		openRows: map[string]*timeline.Interval{},
		log:      log,
	}
}

func (r *rowWriter) writeState(server string, period timeline.StatePeriod) {
	r.appendRow(bucketStatePeriods, int64(period.From), server, period)
}

func (r *rowWriter) writeEvent(e anomaly.Event) {
	r.appendRow(bucketEvents, int64(e.From), e.Name+"\x00"+e.Server, e)
}

// addInterval merges an interval of the finest width into the server's open row.
func (r *rowWriter) addInterval(server string, interval timeline.Interval) {
	from := float64(int64(interval.From/rowWidthMs)) * rowWidthMs
	row := r.openRows[server]
	if row != nil && row.From != from {
		r.writeIntervalRow(server, row)
		row = nil
	}
	if row == nil {
		interval.From, interval.Width = from, rowWidthMs
		r.openRows[server] = &interval
		return
	}
	merged := timeline.Merge(*row, interval)
	*row = merged
}

// writeOpenRowsIfDue writes the open rows if rowWriteIntervalMs has passed since the last time, and forgets
// those that are complete.
func (r *rowWriter) writeOpenRowsIfDue(now float64) {
	if now-r.lastWrittenAt < rowWriteIntervalMs {
		return
	}
	r.lastWrittenAt = now
	for server, row := range r.openRows {
		r.writeIntervalRow(server, row)
		if now-row.From > rowWidthMs+rowWriteIntervalMs {
			delete(r.openRows, server)
		}
	}
}

func (r *rowWriter) writeOpenRows() {
	for server, row := range r.openRows {
		r.writeIntervalRow(server, row)
	}
}

func (r *rowWriter) writeIntervalRow(server string, row *timeline.Interval) {
	r.appendRow(bucketIntervals, int64(row.From), server, row)
}

func (r *rowWriter) appendRow(bucket string, at int64, id string, row any) {
	text, err := cbor.Marshal(row)
	if err != nil {
		r.log.Error().Err(err).Str("bucket", bucket).
			Msg("cannot encode timeline row, row not stored; report this error as a bug of capersail")
		return
	}
	r.store.Append(bucket, at, id, text)
}
