package lifecycle

import (
	"math"
)

// shutDownFront goes on accepting, moves everyone, and sees that whatever is held has its answer before SIGKILL. It ends once
// every connection has been closed from this side, in order: a process that ends over a line that nobody has read, or over
// an answer that the client has not taken, resets the connection, and the client has nothing.
//
// Open connections are served for most of the time there is, and moved evenly over the rest. In a rolling restart
// the relay before this one may be down still: whoever is moved at once finds no relay to come to. And all at
// once they would find every server loaded, as reports are a second old and still count them.
func shutDownFront(r *runningFront) {
	r.requests.BeginShutdown()
	began, span, all := r.requests.Clock.NowMillis(), min(r.longestDeadline, maxServeSpan), r.requests.MigrateSome(0)
	pause := func(ms float64) { <-r.requests.Clock.AfterMillis(ms) }
	for now := began; now < began+span+answerGrace; now = r.requests.Clock.NowMillis() {
		n := r.requests.MigrateSome(0) - keptDuringShutdown(all, now-began, span)
		if left := r.requests.MigrateSome(n); left == 0 && now >= began+minShutdown {
			break
		}
		pause(migrationInterval)
	}
	r.listener.Close() // nobody comes any more: see leastLeave
	r.requests.AnswerAllPending()
	r.requests.MigrateSome(r.requests.MigrateSome(0))
	r.limiter.Drain()
	for r.limiter.DescriptorsHeld() > 0 && r.requests.Clock.NowMillis() < began+span+closeGrace {
		pause(closePollInterval)
	}
}

// keptDuringShutdown is how many of all calls may still be there at some point of a leave that takes so long.
func keptDuringShutdown(all int, since, span float64) int {
	if span <= 0 { // no class has a deadline: SIGKILL may come 700 ms after SIGTERM
		return 0
	}
	return fractionOf(all, (span-since)/(span*(1-keepOpenFraction)))
}

// fractionOf is the share p of all, rounded up, p held between 0 and 1: how many are still kept at a point of a leave.
func fractionOf(all int, p float64) int { return int(math.Ceil(float64(all) * max(0, min(p, 1)))) }
