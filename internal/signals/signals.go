// Package signals catches the signals that the program handles: SIGTERM, SIGINT and SIGHUP. It does so while
// the package is initialized, and it imports almost nothing, so that it is initialized before nearly all
// other packages: a SIGHUP sent to a process that has just started must not end the process.
// internal/lifecycle reads the signals.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// queueSize is the number of signals that are kept until they are read.
const queueSize = 8

var caughtSignals = catchSignals()

// catchSignals starts to catch the signals and returns the channel that they are delivered on.
func catchSignals() <-chan os.Signal {
	signals := make(chan os.Signal, queueSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}

// Channel returns the channel on which the signals caught since the process started are delivered. Every call
// returns the same channel. Signals stay caught until the process ends, because a SIGHUP that arrives during
// the exit must not turn it into a failure.
func Channel() <-chan os.Signal { return caughtSignals }
