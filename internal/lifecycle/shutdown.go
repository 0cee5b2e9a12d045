package lifecycle

import (
	"math"
	"time"
)

// The graceful shutdown of a front, from SIGTERM on. The platform sends SIGKILL at the earliest 700 ms after
// the time that all pending requests have to be answered by: the front's longest deadline, or maxServeSpan,
// and answerGrace.
const (
	// maxServeSpan bounds the time that open connections have: a longer deadline counts as this.
	maxServeSpan = 3 * time.Second
	// keepOpenFraction is the part of that time in which no connection is migrated.
	keepOpenFraction = 0.7
	// minAcceptSpan is how long the front goes on accepting: new connections come for up to 400 ms after
	// SIGTERM.
	minAcceptSpan = 700 * time.Millisecond
	// answerGrace after the serve span every pending request has its answer.
	answerGrace = 300 * time.Millisecond
	// closeGrace after the serve span every connection is closed.
	closeGrace = 600 * time.Millisecond

	migrationInterval = 50 * time.Millisecond
	closePollInterval = 5 * time.Millisecond
)

// shutDownFront goes on accepting, migrates everyone, and sees that every pending request has its answer
// before SIGKILL. It ends once every connection has been closed from this side, in order: a process that ends
// over a line that nobody has read, or over an answer that the client has not taken, resets the connection,
// and the client has nothing.
//
// Open connections are served for most of the time there is, and migrated evenly over the rest. In a rolling
// restart the relay before this one may be down still: whoever is migrated at once finds no relay to come to.
// And all at once they would find every server loaded, as load reports are a second old and still count them.
func shutDownFront(r *runningFront) {
	clock := r.requests.Clock
	r.requests.BeginShutdown()
	began := clock.Now()
	span := min(r.longestDeadline, maxServeSpan)
	all := r.requests.MigrateClients(0)
	for now := began; now < began+span+answerGrace; now = clock.Now() {
		surplus := r.requests.MigrateClients(0) - keptDuringShutdown(all, now-began, span)
		left := r.requests.MigrateClients(surplus)
		if left == 0 && now >= began+minAcceptSpan {
			break
		}
		<-clock.After(migrationInterval)
	}
	r.listener.Close() // nobody comes any more: see minShutdown
	r.requests.AnswerAllPending()
	r.requests.MigrateClients(r.requests.MigrateClients(0))
	r.limiter.Drain()
	for r.limiter.DescriptorsHeld() > 0 && clock.Now() < began+span+closeGrace {
		<-clock.After(closePollInterval)
	}
}

// keptDuringShutdown is how many of all connections may still be open at a time since the begin of a shutdown
// that has such a span.
func keptDuringShutdown(all int, since, span time.Duration) int {
	if span <= 0 { // no class has a deadline: SIGKILL may come 700 ms after SIGTERM
		return 0
	}
	return fractionOf(all, float64(span-since)/(float64(span)*(1-keepOpenFraction)))
}

// fractionOf is a fraction of all, rounded up, the fraction bounded to 0 and 1.
func fractionOf(all int, fraction float64) int {
	return int(math.Ceil(float64(all) * max(0, min(fraction, 1))))
}
