package lifecycle

import (
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
)

// The platform limits the descriptors of the process. These numbers are subtracted from the limit; the rest
// is for clients and their connections to servers.
const (
	// reservedSockets are the descriptors that serve no client: those of the runtime, of the log, and of the
	// connections to discovery, at up to two addresses.
	reservedSockets = 16
	// probeSockets are connections that are kept open for probes. With more servers than this, some probes
	// open a connection of their own.
	probeSockets = 16
	// minSockets is the lowest limit that a configuration may set; with an admin address it is higher by
	// adminSockets.
	minSockets = 64
	// unlimitedSockets is the number of descriptors for clients if no limit is set.
	unlimitedSockets = 1 << 20
)

// rejectionLogBurst is the maximum number of log lines per second about rejections by the guard.
const rejectionLogBurst = 20

// applyRuntimeLimits restricts the Go runtime to the platform's limits: one core, and a heap that stays
// below the memory limit, because the kernel kills a relay that exceeds it. Without a platform's
// configuration (nil) the relay runs on an operator's machine, and the runtime keeps its defaults.
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

// clientBufferFraction is the part of the process's memory that may hold what clients have sent.
const clientBufferFraction = 0.25

// bufferLimit returns how many bytes of what clients have sent the relay may hold.
func bufferLimit(memoryMB int) int { return int(float64(memoryMB<<20) * clientBufferFraction) }

// runningFront is a front with its event loop.
type runningFront struct {
	requests *relay.RequestTable
	listener net.Listener
	// inherited is true if the listening socket belongs to the platform; it stays open in the next process.
	inherited bool
	limiter   *connlimit.Limiter
	// startServing makes the front accept connections.
	startServing    func()
	serveErr        chan error    // receives the error that ended the listener
	longestDeadline time.Duration // the longest of its classes
	// reload reads the front's file again and applies it. If it fails, nothing has changed.
	reload func() error
}

func longestDeadline(deployment *relay.Deployment) (longest time.Duration) {
	for _, class := range deployment.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// connectionCapacity returns how many descriptors are left for clients and their connections to servers,
// given the limit of the process (0 for none). The admin address, if it is on, uses some of the others.
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

// classNames returns the names of the classes, by class number.
func classNames(deployment *relay.Deployment) []string {
	names := make([]string, len(deployment.Settings.Classes))
	for name, class := range deployment.Classes {
		if int(class) < len(names) {
			names[class] = name
		}
	}
	return names
}
