package relay

import (
	"math"
	"testing"
	"time"

	"capersail/decide"
)

// A server that has just started is in slow start, and one that has run since before the relay is not made
// young again, however the clock of the day was stepped: on this machine alone, or on all of them.
func TestServerStartTimeAcrossWallClockSteps(t *testing.T) {
	const age = 700 * time.Millisecond // of a server's start when the list tells of it
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		for _, everywhere := range []bool{false, true} {
			clock := NewManualClock()
			table := NewRequestTable(&Deployment{}, clock, nil)
			wallNowOnClock := func() time.Time { return clock.Wall(clock.Now()) }
			oldServer := Endpoint{ID: "old", State: decide.Ready, StartedAt: wallNowOnClock().Add(-time.Minute)}
			table.UpdateEndpoints(decide.CachedSnapshot, []Endpoint{oldServer})
			before := table.endpoints.byID["old"].startedAt
			clock.Set(clock.Now() + 20*time.Second)
			clock.StepWallClock(step)
			startedAt := wallNowOnClock().Add(-age)
			if everywhere {
				startedAt = startedAt.Add(step)
			}
			newServer := Endpoint{ID: "new", State: decide.Ready, StartedAt: startedAt}
			table.UpdateEndpoints(decide.Snapshot, []Endpoint{oldServer, newServer})
			if got := table.endpoints.byID["old"].startedAt; got != before {
				t.Errorf("step %v, everywhere %v: the old server's start moved by %v",
					step, everywhere, got-before)
			}
			since := clock.Now() - table.endpoints.byID["new"].startedAt
			const slack = time.Millisecond
			if since < 0 || since > age+slack || step == 0 && (since-age).Abs() > slack {
				t.Errorf("step %v, everywhere %v: a server that started %v ago counts as %v old",
					step, everywhere, age, since)
			}
		}
	}
}

// What started before this program did is expressed on the relay's clock, and long ago stays long ago.
func TestFromWallTime(t *testing.T) {
	c := NewManualClock()
	now := float64(c.wallOrigin.UnixMilli())
	if got := c.FromWallTime(TimeFromUnixMillis(now - 250)); got != clockStart-250*time.Millisecond {
		t.Errorf("started 250 ms ago: %v", got)
	}
	if got := c.FromWallTime(TimeFromUnixMillis(0)); got != 0 {
		t.Errorf("long ago: %v", got)
	}
	if got := c.FromWallTime(TimeFromUnixMillis(1e300)); got != c.Now() {
		t.Errorf("a start beyond all range ahead counts as %v", got)
	}
	if got := c.FromWallTime(TimeFromUnixMillis(-1e300)); got > 0 {
		t.Errorf("a start beyond all range ago counts as %v", got)
	}
	if got := TimeFromUnixMillis(1764745200000.9997).UnixMilli(); got != 1764745200000 {
		t.Errorf("a start within a millisecond is told as %d", got)
	}
}

func TestDurationRoundsAndIsBounded(t *testing.T) {
	if got := DurationFromMillis(1.2346); got != 1235000 {
		t.Errorf("1.2346 ms: %v", got)
	}
	if got := addSaturating(time.Hour, math.MaxInt64-time.Minute); got != math.MaxInt64 {
		t.Errorf("an instant out of range: %v", got)
	}
}
