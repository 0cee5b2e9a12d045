// Package duration provides the arithmetic on time.Duration values that the fleet packages share: scaling by
// a factor, and conversion to and from the milliseconds used in messages and reports.
package duration

import (
	"math"
	"time"
)

// DistantPast is an instant before all others.
const DistantPast = time.Duration(math.MinInt64)

// DistantFuture is an instant after all others.
const DistantFuture = time.Duration(math.MaxInt64)

// Scale multiplies a duration by a factor, rounded to the nearest nanosecond. A result that a time.Duration
// cannot hold saturates to DistantPast or DistantFuture.
func Scale(d time.Duration, factor float64) time.Duration {
	scaled := math.Round(float64(d) * factor)
	switch {
	case scaled >= math.MaxInt64:
		return DistantFuture
	case scaled <= math.MinInt64:
		return DistantPast
	}
	return time.Duration(scaled)
}

// Millis returns a duration in milliseconds, the unit of messages and reports.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMillis converts milliseconds to a duration, rounded to the nearest nanosecond. Values beyond 36 years
// are clamped, so that adding a few of them does not overflow.
func FromMillis(ms float64) time.Duration {
	const most = 1 << 60
	return time.Duration(math.Round(min(max(ms*float64(time.Millisecond), -most), most)))
}
