//go:build !faults

package memory

import "time"

// since is how long ago a clock began.
func (c *Clock) since() time.Duration { return time.Since(c.origin) }

// begin is when a clock begins.
func begin() time.Time { return time.Now() }
