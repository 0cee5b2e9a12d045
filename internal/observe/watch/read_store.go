package watch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

// noUpperBound is a time later than any row, in Unix ms.
const noUpperBound = 1<<62 - 1

// ReportFromStore answers a query from a store, also while the relay that wrote it is not running. It fails
// if the store cannot be read or a row cannot be decoded.
func ReportFromStore(s *store.Store, q report.Query) (*report.Report, error) {
	reader := storeReader{
		store:     s,
		query:     q,
		to:        int64(q.To),
		newestEnd: float64(time.Now().UnixMilli()),
		servers:   map[string]*report.Server{},
	}
	if reader.to == 0 {
		reader.to = noUpperBound
	}
	// States and events are read from the beginning of the store, since one that began before the query's
	// period may last into it.
	if err := reader.scan(bucketIntervals, int64(q.From), reader.addInterval); err != nil {
		return nil, err
	}
	if err := reader.scan(bucketStatePeriods, 0, reader.addState); err != nil {
		return nil, err
	}
	if err := reader.scan(bucketEvents, 0, reader.addEvent); err != nil {
		return nil, err
	}
	return reader.report(), nil
}

// storeReader builds a report from the rows of a store.
type storeReader struct {
	store     *store.Store
	query     report.Query
	to        int64   // Unix ms
	newestEnd float64 // end of the newest row, Unix ms
	servers   map[string]*report.Server
	events    []anomaly.Event
}

// scan passes the rows of a bucket to add in order of time, up to the first that cannot be decoded.
func (r *storeReader) scan(bucket string, from int64, add func(id string, row []byte) error) error {
	var rowErr error
	err := r.store.Scan(bucket, from, r.to, func(at int64, id string, row []byte) bool {
		if rowErr = add(id, row); rowErr != nil {
			rowErr = fmt.Errorf("decode %s row of %q at %d: %w", bucket, id, at, rowErr)
		}
		return rowErr == nil
	})
	if err != nil {
		return err
	}
	return rowErr
}

func (r *storeReader) serverReport(name string) *report.Server {
	server := r.servers[name]
	if server == nil {
		server = &report.Server{Name: name}
		r.servers[name] = server
	}
	return server
}

func (r *storeReader) addInterval(id string, row []byte) error {
	if !r.query.Includes(id) {
		return nil
	}
	var interval timeline.Interval
	if err := cbor.Unmarshal(row, &interval); err != nil {
		return err
	}
	server := r.serverReport(id)
	server.Intervals = append(server.Intervals, interval)
	r.newestEnd = interval.From + interval.Width
	return nil
}

func (r *storeReader) addState(id string, row []byte) error {
	if !r.query.Includes(id) {
		return nil
	}
	var period timeline.StatePeriod
	if err := cbor.Unmarshal(row, &period); err != nil {
		return err
	}
	period.Name = period.State.String()
	server := r.serverReport(id)
	if n := len(server.States); n > 0 && server.States[n-1].To == 0 { // the relay stopped before that
		server.States[n-1].To = period.From
	}
	server.States = append(server.States, period)
	server.State = period.Name
	return nil
}

func (r *storeReader) addEvent(_ string, row []byte) error {
	var event anomaly.Event
	if err := cbor.Unmarshal(row, &event); err != nil {
		return err
	}
	event.Name = event.Kind.String()
	r.events = append(r.events, event)
	return nil
}

func (r *storeReader) report() *report.Report {
	result := &report.Report{At: r.newestEnd}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		result.Servers = append(result.Servers, *r.servers[name])
	}
	result.AddEvents(r.events, r.query)
	result.RestrictTime(r.query)
	return result
}
