// Package duration has the arithmetic of time that the fleet's deciders share: durations times a factor,
// and milliseconds at the edge to messages and reports.
package duration

import (
	"math"
	"time"
)

// DistantPast is an instant before all others.
const DistantPast = time.Duration(math.MinInt64)

// DistantFuture is an instant after all others.
const DistantFuture = time.Duration(math.MaxInt64)

// Scale multiplies a duration by a factor, to the nearest nanosecond; what a Duration cannot hold becomes
// Never or Forever.
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

// Millis is a duration in milliseconds, as messages and reports have it.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMillis is the way back from Millis, to the nearest nanosecond. What is out of all reason is cut to
// 36 years, so that sums of a few don't overflow.
func FromMillis(ms float64) time.Duration {
	const most = 1 << 60
	return time.Duration(math.Round(min(max(ms*float64(time.Millisecond), -most), most)))
}
