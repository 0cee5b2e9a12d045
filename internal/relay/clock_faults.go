//go:build faults

package relay

import (
	"time"

	"capersail/internal/testing/faultpoint"
)

// started is what the faulty clock showed when the process began.
var started = faultpoint.Shown()

// since is how long ago the process began, by a clock that may run fast or slow.
func (c *Clock) since() time.Duration { return faultpoint.Shown() - started }

// timeOfDay is the clock of the day, which may be off.
func timeOfDay() time.Time { return time.Now().Add(faultpoint.Step()) }
