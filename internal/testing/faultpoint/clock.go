//go:build faults

package faultpoint

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clock is the monotonic clock that the process is shown: it stood at shown when the machine's stood at real,
// and runs at a rate since.
var skewedClock struct {
	sync.Mutex
	real, shown time.Duration
	rate        float64
}

// NowMillis returns the machine's monotonic clock in ms, as HistoryLine.AtMillis has it.
func NowMillis() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

func monotonicNow() time.Duration { return time.Duration(NowMillis() * float64(time.Millisecond)) }

// setRate changes the rate from now on; 0 and less stand for 1.
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

// shownAt returns what the clock shows at an instant of the machine's. The caller holds the lock.
func skewedAt(now time.Duration) time.Duration {
	if skewedClock.real == 0 {
		skewedClock.real = now
		skewedClock.shown = now
	}
	return skewedClock.shown + time.Duration(float64(now-skewedClock.real)*skewedClock.rate)
}

// SkewedNow returns a monotonic clock that runs at the rate of the rules.
func SkewedNow() time.Duration {
	skewedClock.Lock()
	defer skewedClock.Unlock()
	return skewedAt(monotonicNow())
}

// ClockRate returns that of the clock Shown.
func ClockRate() float64 {
	skewedClock.Lock()
	defer skewedClock.Unlock()
	return skewedClock.rate
}

// WallClockStep returns by how much the clock of the day is ahead.
func WallClockStep() time.Duration {
	return time.Duration(currentRules.Load().WallClockStepMs * float64(time.Millisecond))
}
