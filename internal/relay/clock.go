package relay

import (
	"math"
	"sync/atomic"
	"time"
)

// clockStart is the instant that a new clock shows. It is well above 0, because 0 stands for "long ago".
const clockStart = time.Hour

// Clock is the program's only source of time. Instants are durations since an arbitrary origin, measured on
// the monotonic clock. A clock made by NewManualClock only advances when a test sets it. A Clock is safe for
// concurrent use.
type Clock struct {
	wallOrigin time.Time // wall time at which the clock was created
	manual     bool
	manualNow  atomic.Int64 // current instant of a manual clock
	wallOffset atomic.Int64 // offset of the wall clock of a manual clock
}

// NewClock returns a clock that follows real time.
func NewClock() *Clock { return &Clock{wallOrigin: wallNow()} }

// NewManualClock returns a clock for tests, which only advances when Set is called.
func NewManualClock() *Clock {
	c := &Clock{wallOrigin: time.Unix(1_000_000_000, 0), manual: true}
	c.Set(clockStart)
	return c
}

// Set sets a clock made by NewManualClock to an instant.
func (c *Clock) Set(now time.Duration) { c.manualNow.Store(int64(now)) }

// Now returns the current instant: the time since the clock's origin, on the monotonic clock.
func (c *Clock) Now() time.Duration {
	if c.manual {
		return time.Duration(c.manualNow.Load())
	}
	return clockStart + c.elapsed()
}

// FromWallTime converts the wall time of a past event into an instant of this clock. The zero time becomes 0,
// which stands for "long ago". The wall clock may have been stepped since the process started, on this
// machine only or on all machines. FromWallTime therefore converts relative to the wall time at the start and
// relative to the current wall time, and returns the later result: a recent event is never taken for an old
// one. The result is never in the future.
func (c *Clock) FromWallTime(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	now := c.Now()
	byWallOrigin := clockStart + at.Sub(c.wallOrigin.Round(0))
	byWallNow := now + at.Sub(c.wall().Round(0))
	return min(max(byWallOrigin, byWallNow), now)
}

// wall returns the current wall time.
func (c *Clock) wall() time.Time {
	if c.manual {
		return c.Wall(c.Now()).Add(time.Duration(c.wallOffset.Load()))
	}
	return wallNow()
}

// StepWallClock sets the offset of the wall clock of a clock made by NewManualClock.
func (c *Clock) StepWallClock(by time.Duration) { c.wallOffset.Store(int64(by)) }

// Wall converts an instant of this clock into wall time. It uses the wall time that was read when the clock
// was created, so its results do not jump when the wall clock is stepped.
func (c *Clock) Wall(at time.Duration) time.Time { return c.wallOrigin.Round(0).Add(at - clockStart) }

// WallDeadline converts an instant of this clock into a deadline for a network connection.
func (c *Clock) WallDeadline(at time.Duration) time.Time { return time.Now().Add(at - c.Now()) }

// After returns a channel that receives the time after d has elapsed.
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

// addSaturating returns at + d, or the largest instant if the sum is out of range.
func addSaturating(at, d time.Duration) time.Duration {
	if d > 0 && at > math.MaxInt64-d {
		return math.MaxInt64
	}
	return at + d
}

// Millis converts a time.Duration into milliseconds, for a codec or a log message.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxUnixMillis limits the values that TimeFromUnixMillis converts to the years 1843 to 2096, so that a
// time.Duration can hold all differences between them.
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
