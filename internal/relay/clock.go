package relay

import (
	"math"
	"sync/atomic"
	"time"
)

// clockStart is what a new clock reads. It lies well above 0, which stands for "long ago".
const clockStart = time.Hour

// Clock is the program's only source of time: instants are durations since an arbitrary origin, on the
// monotonic clock. A clock made by NewManualClock stands still until a test sets it. It is safe for use by
// many goroutines.
type Clock struct {
	wallOrigin time.Time // the wall clock when the clock was made
	manual     bool
	manualNow  atomic.Int64 // a manual clock's instant
	wallOffset atomic.Int64 // how far the wall clock is off where the clock is manual
}

// NewClock returns a clock that runs.
func NewClock() *Clock { return &Clock{wallOrigin: wallNow()} }

// NewManualClock returns a clock that stands still.
func NewManualClock() *Clock {
	c := &Clock{wallOrigin: time.Unix(1_000_000_000, 0), manual: true}
	c.Set(clockStart)
	return c
}

// Set moves a clock made by NewManualClock to an instant.
func (c *Clock) Set(now time.Duration) { c.manualNow.Store(int64(now)) }

// Now returns the time since an arbitrary origin, on the monotonic clock.
func (c *Clock) Now() time.Duration {
	if c.manual {
		return time.Duration(c.manualNow.Load())
	}
	return clockStart + c.elapsed()
}

// FromWallTime turns the wall time at which something has happened into this clock's instant; the zero time
// stays 0, for long ago. The wall clock may have been stepped since the process started, here
// alone or on all machines. So it goes by both readings, that of the start and that of now, and takes the
// later instant: what has just happened is never taken for old, and nothing lies ahead.
func (c *Clock) FromWallTime(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	now := c.Now()
	byWallOrigin := clockStart + at.Sub(c.wallOrigin.Round(0))
	byWallNow := now + at.Sub(c.wall().Round(0))
	return min(max(byWallOrigin, byWallNow), now)
}

// wall returns the wall clock's time.
func (c *Clock) wall() time.Time {
	if c.manual {
		return c.Wall(c.Now()).Add(time.Duration(c.wallOffset.Load()))
	}
	return wallNow()
}

// StepWallClock sets by how much the wall clock is off where the clock was made by NewManualClock.
func (c *Clock) StepWallClock(by time.Duration) { c.wallOffset.Store(int64(by)) }

// Wall turns an instant of this clock into wall time, by the one origin that was read at the start: it does
// not step with the wall clock.
func (c *Clock) Wall(at time.Duration) time.Time { return c.wallOrigin.Round(0).Add(at - clockStart) }

// WallDeadline returns the network deadline that falls at an instant of this clock.
func (c *Clock) WallDeadline(at time.Duration) time.Time { return time.Now().Add(at - c.Now()) }

// After returns a channel that gets the time once d has passed.
func (c *Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// maxMicroseconds bounds the result of DurationFromMillis, to about 31 years.
const maxMicroseconds = 1e15

// DurationFromMillis converts milliseconds from a codec or a setting into a time.Duration. The result is
// rounded to microseconds, the precision of the decision module's figures, and bounded by maxMicroseconds.
func DurationFromMillis(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	if math.Abs(us) > maxMicroseconds {
		us = math.Copysign(maxMicroseconds, us)
	}
	return time.Duration(us) * time.Microsecond
}

// addSaturating returns the instant that lies d after at, the last one that there is if that is out of range.
func addSaturating(at, d time.Duration) time.Duration {
	if d > 0 && at > math.MaxInt64-d {
		return math.MaxInt64
	}
	return at + d
}

// Millis converts a time.Duration into milliseconds, for a codec or a log line.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxUnixMillis bounds what TimeFromUnixMillis converts, so that a time.Duration holds all differences: the
// years 1843 to 2096.
const maxUnixMillis = 4e12

// TimeFromUnixMillis converts a Unix time in milliseconds, as codecs deliver it, into a time.Time. 0 becomes
// the zero time, which stands for "long ago".
func TimeFromUnixMillis(ms float64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	millis, fraction := math.Modf(min(max(ms, -maxUnixMillis), maxUnixMillis))
	return time.UnixMilli(int64(millis)).Add(time.Duration(fraction * float64(time.Millisecond)))
}
