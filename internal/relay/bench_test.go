package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// benchSide is an event loop with eight servers on a clock that stands still.
type benchSide struct {
	loop    *EventLoop
	dialer  *fakeSide
	records []recorder.Record
	spent   time.Duration
}

func newBenchSide(rec *recorder.Recorder) *benchSide {
	settings := testSettings()
	settings.MustSubscribe = false
	table, dialer := newTestTable(settings, decide.ClassInfo{
		LatencyObjective: 300 * time.Millisecond,
		Deadline:         time.Second,
	})
	table.Recorder = rec
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b", "c", "d", "e", "f", "g", "h"))
	return &benchSide{loop: NewEventLoop(table, 7, &fakeDiscovery{}, zerolog.Nop()), dialer: dialer}
}

// serve carries one request from its opening to its end.
func (s *benchSide) serve() {
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

// BenchmarkDecision is a request's whole life here, from its opening to its end, with records and without,
// in turns: what the recorder costs a decision.
func BenchmarkDecision(b *testing.B) {
	const each = 2000
	off, on := newBenchSide(nil), newBenchSide(recorder.New(8192))
	requests := 0
	for b.Loop() {
		for _, s := range []*benchSide{off, on} {
			began := time.Now()
			for range each {
				s.serve()
			}
			if rec := s.loop.table.Recorder; rec != nil {
				s.records = rec.TakeAll(s.records)
			}
			s.spent += time.Since(began)
		}
		requests += each
	}
	b.ReportMetric(float64(off.spent.Nanoseconds())/float64(requests), "ns/call-off")
	b.ReportMetric(float64(on.spent.Nanoseconds())/float64(requests), "ns/call-on")
	b.ReportMetric(off.spent.Seconds()/on.spent.Seconds(), "on/off-rate")
}
