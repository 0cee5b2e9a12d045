package lifecycle

import (
	"math"
	"time"
)

// Times of the graceful shutdown of a front, from SIGTERM on. Open connections are served for the serve
// span, which is the front's longest deadline, but at most maxServeSpan. All pending requests have to be
// answered by the end of the serve span plus answerGrace. The platform sends SIGKILL 700 ms after that at
// the earliest.
const (
	// maxServeSpan bounds the serve span.
	maxServeSpan = 3 * time.Second
	// keepOpenFraction is the first part of the serve span, in which no connection is migrated.
	keepOpenFraction = 0.7
	// minAcceptSpan is the shortest time for which the front continues to accept connections. Clients open
	// new ones for up to 400 ms after SIGTERM.
	minAcceptSpan = 700 * time.Millisecond
	// answerGrace is the time after the serve span by which every pending request is answered.
	answerGrace = 300 * time.Millisecond
	// closeGrace is the time after the serve span at which the shutdown stops waiting for connections to
	// close.
	closeGrace = 600 * time.Millisecond

	migrationInterval = 50 * time.Millisecond
	closePollInterval = 5 * time.Millisecond
)

// shutDownFront continues to accept connections, migrates all clients, and answers every pending request
// before SIGKILL. It returns when this side has closed every connection in order, or at the end of
// closeGrace. Otherwise the end of the process would reset connections that have unread input or an answer
// that the client has not received yet, and these clients would get no answer.
//
// Open connections are served for most of the serve span and migrated evenly over the rest of it, for two
// reasons. In a rolling restart the relay that was restarted before this one may still be down, and a
// client that is migrated at once would find no relay. And clients that are migrated all at once would find
// every server loaded, because load reports are a second old and still count their connections.
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
	r.listener.Close() // no client connects any more: see minAcceptSpan
	r.requests.AnswerAllPending()
	r.requests.MigrateClients(r.requests.MigrateClients(0))
	r.limiter.Drain()
	for r.limiter.DescriptorsHeld() > 0 && clock.Now() < began+span+closeGrace {
		<-clock.After(closePollInterval)
	}
}

// keptDuringShutdown returns how many of all connections are not to be migrated yet, by the time since the
// start of a shutdown with the given serve span.
func keptDuringShutdown(all int, since, span time.Duration) int {
	if span <= 0 { // no class has a deadline: SIGKILL may come 700 ms after SIGTERM
		return 0
	}
	return fractionOf(all, float64(span-since)/(float64(span)*(1-keepOpenFraction)))
}

// fractionOf returns all times the fraction, rounded up. The fraction is limited to the range from 0 to 1.
func fractionOf(all int, fraction float64) int {
	return int(math.Ceil(float64(all) * max(0, min(fraction, 1))))
}
