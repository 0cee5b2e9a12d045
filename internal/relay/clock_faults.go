//go:build faults

package relay

import (
	"time"

	"capersail/internal/testing/faultpoint"
)

// started is what the faulty clock showed when the process began.
var started = faultpoint.SkewedNow()

// elapsed is how long ago the process began, by a clock that may run fast or slow.
func (c *Clock) elapsed() time.Duration { return faultpoint.SkewedNow() - started }

// wallNow is the clock of the day, which may be off.
func wallNow() time.Time { return time.Now().Add(faultpoint.WallClockStep()) }
