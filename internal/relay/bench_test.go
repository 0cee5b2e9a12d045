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
		c     *Core
		wire  *side
		clock *Clock
		spare []recorder.Record
	}
	make1 := func(t *recorder.Tap) *side1 {
		clock, wire := NewSetClock(), &side{}
		site := &Site{Settings: decide.Settings{Relays: 1, Zones: 1, MaxAttempts: 2, Probes: true, RetryAfter: true,
			MaxRetryAfter: Duration(1000), Tick: Duration(5), Classes: []decide.ClassInfo{{Aim: Duration(300), Deadline: Duration(1000)}}}}
		x := NewExchange(site, clock, wire)
		x.Tap = t
		var list []Listed
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			list = append(list, Listed{ID: id, Address: "127.0.0.1:1", Mode: decide.Ready})
		}
		x.Members(decide.Whole, list)
		return &side1{c: NewCore(x, 7, &noList{}, zerolog.Nop()), wire: wire, clock: clock}
	}
	sides := []*side1{make1(nil), make1(recorder.New(8192))}
	var spent [2]time.Duration
	calls := 0
	for b.Loop() {
		for i, s := range sides {
			began := time.Now()
			for range each {
				s.wire.tries = s.wire.tries[:0]
				call := s.c.x.Open(Ask{Left: 1000}, &side{})
				for len(s.wire.tries) == 0 {
					if state, _ := call.State(); state == Ended {
						break
					}
					s.clock.Set(s.clock.Now() + 5)
					s.c.Step()
				}
				if call.Attach(0, &side{}) && call.Begin(0) && call.Up(0) != nil {
					call.Leave(Clean)
				}
				call.Over(0, decide.Cancelled, decide.NoReport)
				s.c.Step()
			}
			if s.c.x.Tap != nil {
				s.spare = s.c.x.Tap.Take(s.spare)
			}
			spent[i] += time.Since(began)
		}
		calls += each
	}
	b.ReportMetric(float64(spent[0].Nanoseconds())/float64(calls), "ns/call-off")
	b.ReportMetric(float64(spent[1].Nanoseconds())/float64(calls), "ns/call-on")
	b.ReportMetric(spent[0].Seconds()/spent[1].Seconds(), "on/off-rate")
}
