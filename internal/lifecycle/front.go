package lifecycle

import (
	"net"
	"runtime"
	"runtime/debug"

	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
)

const (
	reservedSockets   = 16      // descriptors that serve no client: the runtime's, the log's, discovery's, two addresses of it
	probeSockets      = 16      // and those of connections kept for probes; a site with more servers dials for some probes
	minSockets        = 64      // what a configuration has to allow, and adminSockets more with a second address
	unlimitedSockets  = 1 << 20 // where no limit is told
	migrationInterval = 50.0
	closePollInterval = 5.0
	maxServeSpan      = 3000.0 // the longest deadline, where it is longer, counts as this
	keepOpenFraction  = 0.7    // part of that time in which open connections are served on
	answerGrace       = 300.0  // after that time all that is held has its answer; SIGKILL comes 700 ms after it at the earliest
	closeGrace        = 600.0  // and by then every connection is closed
	rejectionLogBurst = 20     // log lines a second of what the guard denies
	minShutdown       = 700.0  // new connections go on coming for up to 400 ms after SIGTERM
)

// runningFront is one front with its core.
type runningFront struct {
	requests *relay.RequestTable
	listener net.Listener
	// inherited: the listening socket is the platform's, and lives on in the process that follows this one.
	inherited       bool
	limiter         *connlimit.Limiter
	serveFailed     chan error
	longestDeadline float64 // the longest deadline of its classes
	// reload reads the front's file again and hands each part its new value. Nothing has changed if it fails.
	reload func() error
}

func longestDeadline(site *relay.Deployment) (ms float64) {
	for _, class := range site.Settings.Classes {
		ms = max(ms, relay.Millis(class.Deadline))
	}
	return ms
}

// applyRuntimeLimits fits the runtime into the machine: one core, and a heap that stays under the memory applyRuntimeLimits, which the
// kernel enforces by killing the relay.
func applyRuntimeLimits(c *Config) {
	if c == nil {
		return // the operator's machine is not the platform's
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(200)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
}

// connectionCapacity is how many descriptors clients, and their connections to servers, may have; the second address, where it
// is on, holds some of the rest.
func connectionCapacity(sockets int, second bool) int {
	if sockets == 0 {
		return unlimitedSockets
	}
	n := sockets - reservedSockets - probeSockets - connlimit.MaxEvicting
	if second {
		n -= adminSockets
	}
	return n
}

// classNames are the names of the classes, by number.
func classNames(site *relay.Deployment) []string {
	names := make([]string, len(site.Settings.Classes))
	for name, class := range site.Classes {
		if int(class) < len(names) {
			names[class] = name
		}
	}
	return names
}
