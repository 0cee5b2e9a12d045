//go:build faults

package relay

import (
	"time"

	"capersail/internal/testing/faultpoint"
)

// processStart is what the faulty clock showed when the process began.
var processStart = faultpoint.SkewedNow()

// elapsed is how long ago the process began, by a clock that may run fast or slow.
func (c *Clock) elapsed() time.Duration { return faultpoint.SkewedNow() - processStart }

// wallNow returns the wall clock's time, which a fault point may have stepped.
func wallNow() time.Time { return time.Now().Add(faultpoint.WallClockStep()) }
