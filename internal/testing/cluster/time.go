package cluster

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the machine's monotonic clock, which all processes' histories go by. It is never 0.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// toMillis is an instant or a time as histories and schedules write it.
func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// fromMillis is the opposite of millis.
func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
