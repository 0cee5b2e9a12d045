// Package signals catches the signals that the program follows. It does so as the package is initialized, and
// imports next to nothing, so that it comes before almost all other packages: a SIGHUP that is sent to a
// process that has just started must not end it. internal/lifecycle reads them.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueSize is how many signals wait while none is read.
const queueSize = 8

var caught = catch()

// catch begins to catch the signals.
func catch() <-chan os.Signal {
	signals := make(chan os.Signal, queueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Channel returns the channel on which the signals caught since the process started are delivered. Every call
// returns the same channel. Signals stay caught until the process ends, because a SIGHUP that arrives during
// the exit must not turn it into a failure.
func Channel() <-chan os.Signal { return caught }
