//go:build faults

package faultpoint

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// skewedClock is the monotonic clock that the process sees: it showed the time shown when the machine's clock
// showed the time real, and has run at the given rate since.
var skewedClock struct {
	sync.Mutex
	real, shown time.Duration
	rate        float64
}

// NowMillis returns the machine's monotonic clock in ms, the time base of HistoryLine.AtMillis.
func NowMillis() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

func monotonicNow() time.Duration { return time.Duration(NowMillis() * float64(time.Millisecond)) }

// setClockRate sets the rate of the skewed clock from now on; a rate of 0 or less means 1.
func setClockRate(rate float64) {
	if rate <= 0 {
		rate = 1
	}
	skewedClock.Lock()
	defer skewedClock.Unlock()
	now := monotonicNow()
	skewedClock.shown = skewedAt(now)
	skewedClock.real = now
	skewedClock.rate = rate
}

// skewedAt returns the skewed time at an instant of the machine's clock. The caller holds the lock.
func skewedAt(now time.Duration) time.Duration {
	if skewedClock.real == 0 {
		skewedClock.real = now
		skewedClock.shown = now
	}
	return skewedClock.shown + time.Duration(float64(now-skewedClock.real)*skewedClock.rate)
}

// SkewedNow returns the time of a monotonic clock that runs at the rate set by the fault rules.
func SkewedNow() time.Duration {
	skewedClock.Lock()
	defer skewedClock.Unlock()
	return skewedAt(monotonicNow())
}

// ClockRate returns the rate of the clock behind SkewedNow.
func ClockRate() float64 {
	skewedClock.Lock()
	defer skewedClock.Unlock()
	return skewedClock.rate
}

// WallClockStep returns by how much the wall clock is set ahead.
func WallClockStep() time.Duration {
	return time.Duration(currentRules.Load().WallClockStepMs * float64(time.Millisecond))
}
