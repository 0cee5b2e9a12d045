package relay

import (
	"testing"

	"capersail/decide"
	"capersail/internal/guard"
)

// A process that was stopped wakes over lines that discovery wrote long ago: they confirm nothing. The first line after that does.
func TestOldLinesConfirmNothing(t *testing.T) {
	clock := NewSetClock()
	x := NewExchange(&Site{}, clock, nil)
	x.HoldList(10_000)
	x.Members(decide.Whole, []Listed{{ID: "s", Address: "127.0.0.1:1", Mode: decide.Ready}})
	pass := func(ms float64, stopped bool) {
		end := clock.Now() + ms
		for !stopped && clock.Now()+sweepEvery < end {
			clock.Set(clock.Now() + sweepEvery)
			x.sweep()
		}
		clock.Set(end)
	}
	x.Heard()
	pass(2000, false)
	x.Heard()
	pass(7000, true)
	x.Heard() // a line that has waited, read before anything else runs
	if x.Listed("s") && !x.Rules().ListLapsed {
		t.Error("an old line read before the core looks confirms the list")
	}
	x.sweep()
	x.Heard() // and one after
	if x.Listed("s") || !x.Rules().ListLapsed {
		t.Error("an old line read after the core looks confirms the list")
	}
	pass(2000, false)
	x.Heard()
	if !x.Listed("s") || x.Rules().ListLapsed {
		t.Error("a line of now does not confirm the list")
	}
	pass(5700, false)
	if !x.Listed("s") {
		t.Error("the list lapses before its time")
	}
	pass(500, false)
	x.sweep()
	if x.Listed("s") || !x.Rules().ListLapsed {
		t.Error("the list does not lapse")
	}
	if c := x.Cluster(); c.Listed != 1 || c.Withheld != 1 {
		t.Errorf("of one server on a lapsed list %d are listed and %d withheld", c.Listed, c.Withheld)
	}
	x.Unheard(guard.ConnectionRefused)
	if !x.Listed("s") {
		t.Error("a discovery that refuses connections leaves no list in force")
	}
}
