//go:build faults

package relay

import (
	"time"

	"capersail/internal/testing/faultpoint"
)

// processStart is the time that the skewed clock showed when the process started.
var processStart = faultpoint.SkewedNow()

// elapsed returns the time since the process started, by a clock that a fault point may make run fast or
// slow.
func (c *Clock) elapsed() time.Duration { return faultpoint.SkewedNow() - processStart }

// wallNow returns the current wall time, which a fault point may have stepped.
func wallNow() time.Time { return time.Now().Add(faultpoint.WallClockStep()) }
