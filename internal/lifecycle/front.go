package lifecycle

import (
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
)

// Descriptors: what the platform's limit allows is shared out among these and the clients with their
// connections to servers.
const (
	// reservedSockets serve no client: the runtime's, the log's, discovery's, two addresses of it.
	reservedSockets = 16
	// probeSockets are connections kept for probes; a deployment with more servers dials for some probes.
	probeSockets = 16
	// minSockets is what a configuration has to allow, and adminSockets more with an admin address.
	minSockets = 64
	// unlimitedSockets is the number of descriptors where no limit is set.
	unlimitedSockets = 1 << 20
)

// rejectionLogBurst bounds the log lines a second of what the guard rejects.
const rejectionLogBurst = 20

// applyRuntimeLimits fits the runtime into the machine: one core, and a heap that stays under the memory
// limit, which the kernel enforces by killing the relay. nil leaves the runtime alone: the operator's machine
// is not the platform's.
func applyRuntimeLimits(c *Config) {
	if c == nil {
		return
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(200)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
}

// runningFront is one front with its event loop.
type runningFront struct {
	requests *relay.RequestTable
	listener net.Listener
	// inherited: the listening socket is the platform's, and lives on in the process that follows this one.
	inherited       bool
	limiter         *connlimit.Limiter
	serveErr        chan error    // has the error that ended the listener
	longestDeadline time.Duration // of its classes
	// reload reads the front's file again and takes it in. Nothing has changed if it fails.
	reload func() error
}

func longestDeadline(deployment *relay.Deployment) (longest time.Duration) {
	for _, class := range deployment.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// connectionCapacity is how many descriptors clients, and their connections to servers, may have; the admin
// address, where it is on, holds some of the rest.
func connectionCapacity(sockets int, adminOn bool) int {
	if sockets == 0 {
		return unlimitedSockets
	}
	capacity := sockets - reservedSockets - probeSockets - connlimit.MaxEvicting
	if adminOn {
		capacity -= adminSockets
	}
	return capacity
}

// classNames are the names of the classes, by number.
func classNames(deployment *relay.Deployment) []string {
	names := make([]string, len(deployment.Settings.Classes))
	for name, class := range deployment.Classes {
		if int(class) < len(names) {
			names[class] = name
		}
	}
	return names
}
