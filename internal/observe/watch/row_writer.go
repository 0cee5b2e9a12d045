package watch

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

// The store's buckets. Their names are stored.
const (
	bucketStatePeriods = "bands"
	bucketIntervals    = "steps"
	bucketEvents       = "events"
)

// In Unix ms, as rows have their times.
const (
	rowWidthMs         = 10_000.0 // of a row of intervals
	rowWriteIntervalMs = 1000.0   // the open rows are written over so often
)

// rowWriter puts rows into the store's queue. Intervals of the finest width are merged into rows of rowWidth,
// of which each server's newest is open. Its owner locks.
type rowWriter struct {
	store         *store.Store
	openRows      map[string]*timeline.Interval // by server
	lastWrittenAt float64                       // when open rows were written last, Unix ms
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

// addInterval adds an interval of the finest width to the server's open row.
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

// writeOpenRowsIfDue writes the open rows where rowWriteEvery has passed, and lets go of those that take
// nothing more.
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
			Msg("timeline row cannot be encoded, not stored: report it with its error")
		return
	}
	r.store.Append(bucket, at, id, text)
}
