// Package signals catches the signals that the program follows. It does so as the package is initialized, and imports next to
// nothing, so that it comes before almost all other packages: a SIGHUP that is sent to a process that has just started must not end it.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueSize is how many signals wait while none is read.
const queueSize = 8

var caught = catch()

func catch() <-chan os.Signal {
	signals := make(chan os.Signal, queueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Caught returns the signals since the process started. They are caught until its end: a SIGHUP on its way then must not make the
// program's exit a failure.
func Caught() <-chan os.Signal { return caught }
