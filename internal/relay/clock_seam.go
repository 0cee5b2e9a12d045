//go:build !faults

package relay

import "time"

// elapsed returns the time since the clock was created.
func (c *Clock) elapsed() time.Duration { return time.Since(c.wallOrigin) }

// wallNow returns the current wall time.
func wallNow() time.Time { return time.Now() }
