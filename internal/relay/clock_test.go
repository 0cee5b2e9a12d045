package relay

import (
	"math"
	"testing"

	"capersail/decide"
)

// A server that has just started is cold, and one that has run since before the relay is not made young again, however the clock of
// the day was stepped: on this machine alone, or on all of them.
func TestStartsThroughStepsOfTheDay(t *testing.T) {
	const hour, age = 3600_000.0, 700.0 // age: of a server's start when the list tells of it
	for _, step := range []float64{0, hour, -hour, 2000, -2000} {
		for _, everywhere := range []bool{false, true} {
			clock := NewManualClock()
			x := NewRequestTable(&Deployment{}, clock, nil)
			day := func() float64 { return clock.UnixMillis(clock.NowMillis()) }
			old := Endpoint{ID: "old", Mode: decide.Ready, StartedAt: day() - 60_000}
			x.UpdateEndpoints(decide.Cached, []Endpoint{old})
			before := x.endpoints.byID["old"].startedAt
			clock.SetMillis(clock.NowMillis() + 20_000)
			clock.StepWallClock(step)
			told := day() - age
			if everywhere {
				told += step
			}
			x.UpdateEndpoints(decide.Snapshot, []Endpoint{old, {ID: "new", Mode: decide.Ready, StartedAt: told}})
			if got := x.endpoints.byID["old"].startedAt; got != before {
				t.Errorf("step %v, everywhere %v: the old server's start moved by %v ms", step, everywhere, got-before)
			}
			since := clock.NowMillis() - x.endpoints.byID["new"].startedAt
			if since < 0 || since > age+1 || step == 0 && math.Abs(since-age) > 1 {
				t.Errorf("step %v, everywhere %v: a server that started %v ms ago counts as %v ms old", step, everywhere, age, since)
			}
		}
	}
}

// What starts before this program did is told on the module's clock, and long ago stays long ago.
func TestClock(t *testing.T) {
	c := NewManualClock()
	now := float64(c.origin.UnixMilli())
	if got := c.FromUnixMillis(now - 250); got != clockStart-250 {
		t.Errorf("started 250 ms ago: %v", got)
	}
	if got := c.FromUnixMillis(0); got != 0 {
		t.Errorf("long ago: %v", got)
	}
	if got := Duration(1.2346); got != 1235000 {
		t.Errorf("1.2346 ms: %v", got)
	}
}
