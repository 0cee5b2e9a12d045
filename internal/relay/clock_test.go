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
			clock := NewSetClock()
			x := NewExchange(&Site{}, clock, nil)
			day := func() float64 { return clock.Unix(clock.Now()) }
			old := Listed{ID: "old", Mode: decide.Ready, Started: day() - 60_000}
			x.Members(decide.Cached, []Listed{old})
			before := x.roster.byID["old"].since
			clock.Set(clock.Now() + 20_000)
			clock.StepDay(step)
			told := day() - age
			if everywhere {
				told += step
			}
			x.Members(decide.Whole, []Listed{old, {ID: "new", Mode: decide.Ready, Started: told}})
			if got := x.roster.byID["old"].since; got != before {
				t.Errorf("step %v, everywhere %v: the old server's start moved by %v ms", step, everywhere, got-before)
			}
			since := clock.Now() - x.roster.byID["new"].since
			if since < 0 || since > age+1 || step == 0 && math.Abs(since-age) > 1 {
				t.Errorf("step %v, everywhere %v: a server that started %v ms ago counts as %v ms old", step, everywhere, age, since)
			}
		}
	}
}
