package relay

import (
	"math"
	"testing"
	"time"

	"capersail/decide"
)

// A step of the wall clock, on this machine only or on all machines, must not change which servers are in
// slow start: a server that has just started counts as new, and a server that started before the relay does
// not.
func TestServerStartTimeAcrossWallClockSteps(t *testing.T) {
	const age = 700 * time.Millisecond // time since the new server's start when the list reports it
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 2 * time.Second, -2 * time.Second} {
		for _, everywhere := range []bool{false, true} {
			clock := NewManualClock()
			table := NewRequestTable(&Deployment{}, clock, nil)
			wallTime := func() time.Time { return clock.Wall(clock.Now()) }
			oldServer := Endpoint{ID: "old", State: decide.Ready, StartedAt: wallTime().Add(-time.Minute)}
			table.UpdateEndpoints(decide.CachedSnapshot, []Endpoint{oldServer})
			before := table.endpoints.byID["old"].startedAt
			clock.Set(clock.Now() + 20*time.Second)
			clock.StepWallClock(step)
			startedAt := wallTime().Add(-age)
			if everywhere {
				startedAt = startedAt.Add(step)
			}
			newServer := Endpoint{ID: "new", State: decide.Ready, StartedAt: startedAt}
			table.UpdateEndpoints(decide.Snapshot, []Endpoint{oldServer, newServer})
			if got := table.endpoints.byID["old"].startedAt; got != before {
				t.Errorf("step %v, everywhere %v: start of the old server moved by %v, want 0",
					step, everywhere, got-before)
			}
			since := clock.Now() - table.endpoints.byID["new"].startedAt
			const slack = time.Millisecond
			if since < 0 || since > age+slack || step == 0 && (since-age).Abs() > slack {
				t.Errorf("step %v, everywhere %v: server started %v ago has the age %v, want about the same",
					step, everywhere, age, since)
			}
		}
	}
}

// Times before the start of the process are converted to instants of the relay's clock. 0, for "long ago",
// stays 0.
func TestFromWallTime(t *testing.T) {
	c := NewManualClock()
	now := float64(c.wallOrigin.UnixMilli())
	if got := c.FromWallTime(TimeFromUnixMillis(now - 250)); got != clockStart-250*time.Millisecond {
		t.Errorf("FromWallTime(250 ms before the origin) = %v, want clockStart - 250 ms", got)
	}
	if got := c.FromWallTime(TimeFromUnixMillis(0)); got != 0 {
		t.Errorf("FromWallTime(zero time) = %v, want 0", got)
	}
	if got := c.FromWallTime(TimeFromUnixMillis(1e300)); got != c.Now() {
		t.Errorf("FromWallTime(time beyond the range in the future) = %v, want the current instant", got)
	}
	if got := c.FromWallTime(TimeFromUnixMillis(-1e300)); got > 0 {
		t.Errorf("FromWallTime(time beyond the range in the past) = %v, want at most 0", got)
	}
	if got := TimeFromUnixMillis(1764745200000.9997).UnixMilli(); got != 1764745200000 {
		t.Errorf("TimeFromUnixMillis(1764745200000.9997) is %d ms, want 1764745200000", got)
	}
}

func TestDurationRoundsAndIsBounded(t *testing.T) {
	if got := DurationFromMillis(1.2346); got != 1235000 {
		t.Errorf("DurationFromMillis(1.2346) = %v, want 1.235ms", got)
	}
	if got := addSaturating(time.Hour, math.MaxInt64-time.Minute); got != math.MaxInt64 {
		t.Errorf("addSaturating with a sum out of range = %v, want the largest instant", got)
	}
}
