package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// BenchmarkDecision is a call's whole life in the core, from its opening to its end, with records and without, in
// turns: what the tap costs a decision.
func BenchmarkDecision(b *testing.B) {
	const each = 2000
	type side1 struct {
		c     *EventLoop
		wire  *side
		clock *Clock
		spare []recorder.Record
	}
	make1 := func(t *recorder.Recorder) *side1 {
		clock, wire := NewManualClock(), &side{}
		site := &Deployment{Settings: decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, RetryAfter: true,
			MaxRetryAfter: Duration(1000), Tick: Duration(5), Classes: []decide.ClassInfo{{LatencyObjective: Duration(300), Deadline: Duration(1000)}}}}
		x := NewRequestTable(site, clock, wire)
		x.Recorder = t
		var list []Endpoint
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			list = append(list, Endpoint{ID: id, Address: "127.0.0.1:1", Mode: decide.Ready})
		}
		x.UpdateEndpoints(decide.Snapshot, list)
		return &side1{c: NewEventLoop(x, 7, &noList{}, zerolog.Nop()), wire: wire, clock: clock}
	}
	sides := []*side1{make1(nil), make1(recorder.New(8192))}
	var spent [2]time.Duration
	calls := 0
	for b.Loop() {
		for i, s := range sides {
			began := time.Now()
			for range each {
				s.wire.tries = s.wire.tries[:0]
				call := s.c.table.Open(OpenRequest{Timeout: time.Second}, &side{})
				for len(s.wire.tries) == 0 {
					if state, _ := call.State(); state == Ended {
						break
					}
					s.clock.Set(s.clock.Now() + 5*time.Millisecond)
					s.c.Step()
				}
				if call.Attach(0, &side{}) && call.BeginWrite(0) && call.Establish(0) != nil {
					call.ClientClosed(GracefulClose)
				}
				call.EndAttempt(0, decide.Cancelled, decide.NoLoadReport)
				s.c.Step()
			}
			if s.c.table.Recorder != nil {
				s.spare = s.c.table.Recorder.TakeAll(s.spare)
			}
			spent[i] += time.Since(began)
		}
		calls += each
	}
	b.ReportMetric(float64(spent[0].Nanoseconds())/float64(calls), "ns/call-off")
	b.ReportMetric(float64(spent[1].Nanoseconds())/float64(calls), "ns/call-on")
	b.ReportMetric(spent[0].Seconds()/spent[1].Seconds(), "on/off-rate")
}
