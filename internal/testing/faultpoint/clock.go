//go:build faults

package faultpoint

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// clock is the monotonic clock that the process is shown: it stood at shown when the machine's stood at real,
// and runs at a rate since.
var clock struct {
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

func monotonic() time.Duration { return time.Duration(NowMillis() * float64(time.Millisecond)) }

// setRate changes the rate from now on; 0 and less stand for 1.
func setRate(rate float64) {
	if rate <= 0 {
		rate = 1
	}
	clock.Lock()
	defer clock.Unlock()
	now := monotonic()
	clock.shown = shownAt(now)
	clock.real = now
	clock.rate = rate
}

// shownAt returns what the clock shows at an instant of the machine's. The caller holds the lock.
func shownAt(now time.Duration) time.Duration {
	if clock.real == 0 {
		clock.real = now
		clock.shown = now
	}
	return clock.shown + time.Duration(float64(now-clock.real)*clock.rate)
}

// SkewedNow returns a monotonic clock that runs at the rate of the rules.
func SkewedNow() time.Duration {
	clock.Lock()
	defer clock.Unlock()
	return shownAt(monotonic())
}

// ClockRate returns that of the clock Shown.
func ClockRate() float64 {
	clock.Lock()
	defer clock.Unlock()
	return clock.rate
}

// WallClockStep returns by how much the clock of the day is ahead.
func WallClockStep() time.Duration {
	return time.Duration(rules.Load().WallClockStepMs * float64(time.Millisecond))
}
