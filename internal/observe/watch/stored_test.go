package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
	"capersail/internal/store"
)

const storedStart = 1_800_000_000_000.0

// writeStoredRows writes the rows of testdata/timeline.db, which the version of 2026-12-03 wrote: every
// state, every kind of event, and an interval in which no field is zero.
func writeStoredRows(t *testing.T, path string) {
	t.Helper()
	s, err := store.Open(path, store.Options{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	closed := make(chan struct{})
	go func() { s.Run(ctx); close(closed) }()
	rows := newRowWriter(s, zerolog.Nop())
	events := newEventLog(rows, zerolog.Nop())
	for state := timeline.Listed; state <= timeline.Ejected; state++ {
		from := storedStart + 1000*float64(state)
		period := timeline.StatePeriod{State: state, From: from, Cause: fmt.Sprint("cause ", state)}
		rows.writeState("s1", period)
		if period.To = from + 1000; state < timeline.Ejected {
			rows.writeState("s1", period)
		}
	}
	full := timeline.Interval{
		From:            storedStart,
		Width:           1000,
		Placements:      2,
		Retries:         3,
		Connections:     4,
		Migrations:      5,
		Rejections:      6,
		EndsByStatus:    [8]uint32{1, 2, 3, 4, 5, 6, 7, 8},
		Probes:          9,
		ProbesLost:      10,
		OpenConnections: 11,
		Load:            [3]float32{0.25, 0.5, 0.75},
		Readings:        12,
		Setup:           [3]float32{1.5, 2.5, 3.5},
		SlowestMessage:  4.5,
		DroppedRecords:  13,
		Merged:          true,
		PeerReadings:    14,
	}
	for i := range full.RejectReasons.ByReason {
		full.RejectReasons.ByReason[i] = uint32(100 + i)
	}
	for i := range full.RejectReasons.ByInitiator {
		full.RejectReasons.ByInitiator[i] = uint32(200 + i)
	}
	rows.addInterval("s1", full)
	full.From += 2000
	rows.addInterval("s1", full) // merged into the same row
	full.From += 20_000
	rows.addInterval("s1", full) // begins the next row
	noLoad := [3]float32{-1, -1, -1}
	rows.addInterval(timeline.FleetName, timeline.Interval{From: storedStart, Width: 1000, Load: noLoad})
	for _, server := range []string{"s1", timeline.FleetName} {
		rows.writeIntervalRow(server, rows.openRows[server])
	}
	for kind := anomaly.Kind(0); kind <= anomaly.RelayChanged; kind++ {
		from := storedStart + 100*float64(kind)
		e := anomaly.Event{
			Server:     "s1",
			Kind:       kind,
			Name:       kind.String(),
			From:       from,
			Evidence:   "seen",
			Confidence: 0.5,
		}
		if kind == anomaly.EndpointListUnreachable || kind == anomaly.RelayChanged {
			e.Server = ""
		}
		events.record(e)
		if kind != anomaly.SlowSetup { // the event of this kind stays active
			e.To, e.Confidence, e.Evidence = from+50, 1, "over"
			events.record(e)
		}
	}
	stop()
	<-closed
}

// storedRows reads all encoded rows of a timeline store.
func storedRows(t *testing.T, path string) map[string]string {
	t.Helper()
	s, err := store.Open(path, store.Options{ReadOnly: true}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	rows := map[string]string{}
	for _, bucket := range []string{"bands", "steps", "events"} {
		err := s.Scan(bucket, 0, 1<<62, func(at int64, id string, value []byte) bool {
			rows[fmt.Sprintf("%s %d %q", bucket, at, id)] = fmt.Sprintf("%x", value)
			return true
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return rows
}

// The rows of a timeline have the same keys and the same bytes as those that an earlier version wrote.
func TestTimelineIsWrittenAsBefore(t *testing.T) {
	path := filepath.Join(t.TempDir(), "new.db")
	writeStoredRows(t, path)
	want, got := storedRows(t, "testdata/timeline.db"), storedRows(t, path)
	for _, key := range slices.Sorted(maps.Keys(want)) {
		if got[key] != want[key] {
			t.Errorf("row %s: got bytes %s, want %s", key, got[key], want[key])
		}
	}
	if len(got) != len(want) || len(want) < 20 {
		t.Errorf("the store has %d rows, want %d", len(got), len(want))
	}
}

// A timeline that an earlier version wrote gives the same report as before, whole and in part.
func TestStoredTimelineStaysReadable(t *testing.T) {
	s, err := store.Open("testdata/timeline.db", store.Options{ReadOnly: true}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for file, q := range map[string]report.Query{
		"timeline.json": {},
		"part.json":     {Servers: []string{"s2"}, From: storedStart, To: storedStart + 1150},
	} {
		want, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		r, err := ReportFromStore(s, q)
		if err != nil {
			t.Fatal(err)
		}
		if got := encodeReport(t, r); !bytes.Equal(got, want) {
			t.Errorf("the report differs from testdata/%s: got\n%s", file, got)
		}
	}
}

// encodeReport encodes a report in the form of the files in testdata.
func encodeReport(t *testing.T, r *report.Report) []byte {
	t.Helper()
	if len(r.Servers) == 0 || r.At < storedStart {
		t.Errorf("the report has %d servers and time %.0f, want at least one and a time after storedStart",
			len(r.Servers), r.At)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}
