package scale

import (
	"time"

	"golang.org/x/sys/unix"
)

// machineNow returns the machine's monotonic clock, which the virtual time of testing/synctest does not
// replace.
func machineNow() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
