package watch

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
	"capersail/internal/relay"
	"capersail/internal/store"
)

// BenchmarkFold measures the time to apply a record to its timeline and to the anomaly detector with 200
// servers, and the memory that their timelines take.
func BenchmarkFold(b *testing.B) {
	const servers = 200
	clock := relay.NewManualClock()
	x := relay.NewRequestTable(&relay.Deployment{}, clock, nil)
	config := Config{RecordBuffer: 1 << 15, Limits: timeline.DefaultLimits(), MaxServers: servers}
	w := New(config, x, clock, zerolog.Nop())
	x.Recorder = w.Recorder
	var list []relay.Endpoint
	for i := range servers {
		list = append(list, relay.Endpoint{ID: fmt.Sprint("s", i), State: decide.Ready})
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x.UpdateEndpoints(decide.Snapshot, list)
	w.ApplyRecords()
	now, n := clock.Now(), 0
	for b.Loop() { // one second of every server: three connections and a probe
		for i := range servers {
			for k := range 3 {
				at, setup := now+time.Duration(k)*300*time.Millisecond, 3*time.Millisecond
				server := int32(i)
				x.Recorder.Put(&recorder.Record{At: at, Kind: recorder.AttemptStarted, Server: server})
				x.Recorder.Put(&recorder.Record{
					At:      at + setup,
					Kind:    recorder.ConnectionUp,
					Server:  server,
					Elapsed: setup,
				})
				x.Recorder.Put(&recorder.Record{
					At:           at + 200*time.Millisecond,
					Kind:         recorder.AttemptEnded,
					Server:       server,
					Initiator:    recorder.Client,
					Status:       decide.Cancelled,
					WasConnected: true,
				})
			}
			x.Recorder.Put(&recorder.Record{
				At:      now,
				Kind:    recorder.ProbeEnded,
				Server:  int32(i),
				Load:    0.4,
				Elapsed: 400 * time.Microsecond,
			})
		}
		n += servers * 10
		now += time.Second
		clock.Set(now)
		w.ApplyRecords()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/record")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/servers/1024, "KB/server")
	runtime.KeepAlive(w)
}

// BenchmarkQuery measures reading 24 h of 200 servers from a store as a relay writes it: all of them, one
// server only, and one hour only.
func BenchmarkQuery(b *testing.B) {
	const servers, rows = 200, 24 * 360
	path := filepath.Join(b.TempDir(), "t.db")
	s, err := store.Open(path, store.Options{MaxQueuedRows: 1 << 22}, zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx); close(ended) }()
	for r := range rows {
		at := 1.8e12 + float64(r)*rowWidthMs
		for i := range servers {
			text, _ := cbor.Marshal(timeline.Interval{
				From:        at,
				Width:       rowWidthMs,
				Placements:  3,
				Connections: 3,
				Probes:      8,
				Readings:    8,
				Load:        [3]float32{0.1, 0.4, 0.7},
				Setup:       [3]float32{3, 9, 12},
			})
			s.Append(bucketIntervals, int64(at), fmt.Sprint("s-", i), text)
		}
		if r%300 == 299 {
			s.Flush()
		}
	}
	s.Flush()
	stop()
	<-ended
	info, err := os.Stat(path)
	if err != nil {
		b.Fatal(err)
	}
	if s, err = store.Open(path, store.Options{ReadOnly: true}, zerolog.Nop()); err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	read := func(q report.Query, want int) float64 {
		began := time.Now()
		r, err := ReportFromStore(s, q)
		if err != nil || len(r.Servers) != want {
			b.Fatal(err, len(r.Servers))
		}
		return time.Since(began).Seconds()
	}
	var all, one, hour float64
	n := 0.0
	for b.Loop() {
		all += read(report.Query{}, servers)
		one += read(report.Query{Servers: []string{"s-7"}}, 1)
		hour += read(report.Query{From: 1.8e12, To: 1.8e12 + 3.6e6}, servers)
		n++
	}
	b.ReportMetric(all/n, "s/all")
	b.ReportMetric(one/n, "s/one-server")
	b.ReportMetric(hour/n, "s/one-hour")
	b.ReportMetric(float64(info.Size())/servers/24, "bytes/server/hour")
}
