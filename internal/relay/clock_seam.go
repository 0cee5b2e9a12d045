//go:build !faults

package relay

import "time"

// since is how long ago a clock began.
func (c *Clock) since() time.Duration { return time.Since(c.origin) }

// timeOfDay is the clock of the day.
func timeOfDay() time.Time { return time.Now() }
