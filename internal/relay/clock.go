// Package relay is a relay's core, which knows no wire: the clock, the list of servers, the state of every request, and the loop
// that feeds the decision module.
package relay

import (
	"math"
	"sync/atomic"
	"time"
)

// clockStart is what a new clock reads. It lies well above 0, which in discovery's list means "long ago".
const clockStart = 3600 * 1000

// Clock is the program's only source of time: milliseconds since an arbitrary origin. A clock made by
// NewSetClock stands still until a test sets it.
type Clock struct {
	origin    time.Time
	manual    bool
	manualNow atomic.Uint64 // bits of the time of a clock that tests set
	// stepped: bits of how far the clock of the day of such a clock is off.
	wallStep atomic.Uint64
}

// NewClock returns a clock that runs.
func NewClock() *Clock { return &Clock{origin: wallNow()} }

// NewManualClock returns a clock that stands still.
func NewManualClock() *Clock {
	c := &Clock{origin: time.Unix(1_000_000_000, 0), manual: true}
	c.SetMillis(clockStart)
	return c
}

// SetMillis moves a clock made by NewSetClock.
func (c *Clock) SetMillis(ms float64) { c.manualNow.Store(math.Float64bits(ms)) }

// Now is the time since an arbitrary origin, on the monotonic clock.
func (c *Clock) Now() time.Duration {
	if c.manual {
		return Duration(c.NowMillis())
	}
	return clockStart*time.Millisecond + c.elapsed()
}

// NowMillis is Now in milliseconds.
func (c *Clock) NowMillis() float64 {
	if c.manual {
		return math.Float64frombits(c.manualNow.Load())
	}
	return clockStart + float64(c.elapsed().Nanoseconds())/1e6
}

// FromUnixMillis turns the Unix time in milliseconds of something that has happened into this clock's; 0 stays 0, for long ago. The clock of
// the day may have been stepped since the process started, here alone or on all machines. So it goes by both readings, that of the
// start and that of now, and takes the later time: what has just happened is never taken for old, and nothing lies ahead.
func (c *Clock) FromUnixMillis(ms float64) float64 {
	if ms == 0 {
		return 0
	}
	now := c.NowMillis()
	byStart := clockStart + ms - float64(c.origin.UnixNano())/1e6
	byDay := now + ms - c.wallMillis()
	return min(max(byStart, byDay), now)
}

// wallMillis is the clock of the wallMillis now, as Unix time in milliseconds.
func (c *Clock) wallMillis() float64 {
	if c.manual {
		return c.UnixMillis(c.NowMillis()) + math.Float64frombits(c.wallStep.Load())
	}
	return float64(wallNow().UnixNano()) / 1e6
}

// StepWallClock steps the clock of the day of a clock made by NewSetClock, by ms from where it would be.
func (c *Clock) StepWallClock(ms float64) { c.wallStep.Store(math.Float64bits(ms)) }

// UnixMillis turns this clock's time into UnixMillis time in milliseconds, by the one origin that was read at the start: it
// does not step with the clock of the day.
func (c *Clock) UnixMillis(ms float64) float64 {
	return ms - clockStart + float64(c.origin.UnixNano())/1e6
}

// WallDeadline is the network deadline that falls at an instant of this clock.
func (c *Clock) WallDeadline(at time.Duration) time.Time { return time.Now().Add(at - c.Now()) }

// WallDeadlineMillis is when a network deadline falls that lies at ms on this clock.
func (c *Clock) WallDeadlineMillis(ms float64) time.Time {
	return time.Now().Add(Duration(ms - c.NowMillis()))
}

// Duration is the one place where milliseconds become a time.Duration. It rounds to whole microseconds,
// in which the module's figures are stated, and bounds what is out of all reason.
func Duration(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	if math.Abs(us) > 1e15 {
		us = math.Copysign(1e15, us)
	}
	return time.Duration(us) * time.Microsecond
}

// Millis is the way back from the module's durations.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// AfterMillis sends once ms have passed.
func (c *Clock) AfterMillis(ms float64) <-chan time.Time { return time.After(Duration(ms)) }

// After sends once the time has passed.
func (c *Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }
