//go:build !faults

package relay

import "time"

// elapsed is how long ago a clock began.
func (c *Clock) elapsed() time.Duration { return time.Since(c.wallOrigin) }

// wallNow returns the wall clock's time.
func wallNow() time.Time { return time.Now() }
