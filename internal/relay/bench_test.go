package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// benchLoop is an event loop with eight servers and a manual clock.
type benchLoop struct {
	loop    *EventLoop
	dialer  *fakeSide
	records []recorder.Record
	elapsed time.Duration
}

func newBenchLoop(rec *recorder.Recorder) *benchLoop {
	settings := testSettings()
	settings.MustSubscribe = false
	table, dialer := newTestTable(settings, decide.ClassInfo{
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         time.Second,
	})
	table.Recorder = rec
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b", "c", "d", "e", "f", "g", "h"))
	return &benchLoop{loop: NewEventLoop(table, 7, &fakeDiscovery{}, zerolog.Nop()), dialer: dialer}
}

// serveOneRequest runs one request from its opening to its end.
func (s *benchLoop) serveOneRequest() {
	clock := s.loop.table.Clock
	s.dialer.attempts = s.dialer.attempts[:0]
	r := open(s.loop.table, 0)
	for len(s.dialer.attempts) == 0 {
		if state, _ := r.State(); state == Ended {
			break
		}
		clock.Set(clock.Now() + 5*time.Millisecond)
		s.loop.Step()
	}
	if r.Attach(0, &fakeSide{}) && r.BeginWrite(0) && r.Establish(0) != nil {
		r.ClientClosed(GracefulClose)
	}
	r.EndAttempt(0, decide.Cancelled, decide.NoLoadReport)
	s.loop.Step()
}

// BenchmarkDecision measures what the event recorder adds to the cost of a request. It runs requests from
// their opening to their end, in alternating batches with and without a recorder.
func BenchmarkDecision(b *testing.B) {
	const batchSize = 2000
	withoutRecorder, withRecorder := newBenchLoop(nil), newBenchLoop(recorder.New(8192))
	requests := 0
	for b.Loop() {
		for _, s := range []*benchLoop{withoutRecorder, withRecorder} {
			began := time.Now()
			for range batchSize {
				s.serveOneRequest()
			}
			if rec := s.loop.table.Recorder; rec != nil {
				s.records = rec.TakeAll(s.records)
			}
			s.elapsed += time.Since(began)
		}
		requests += batchSize
	}
	b.ReportMetric(float64(withoutRecorder.elapsed.Nanoseconds())/float64(requests), "ns/call-off")
	b.ReportMetric(float64(withRecorder.elapsed.Nanoseconds())/float64(requests), "ns/call-on")
	b.ReportMetric(withoutRecorder.elapsed.Seconds()/withRecorder.elapsed.Seconds(), "on/off-rate")
}
