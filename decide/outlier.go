package decide

import "time"

const (
	// ejectionBackoff is the base of the time for which a server that answers with errors stays ejected, and
	// the upper bound of the backoff after a failed probe.
	ejectionBackoff = 4 * time.Second
	// maxErrorEjection bounds the time for which a server that answers with errors stays ejected.
	maxErrorEjection = time.Minute
	// consecutiveFailureThreshold is how many consecutive failures, of a server's probes or of set-ups, are
	// taken for a fault and not for chance.
	consecutiveFailureThreshold = 2
)

// health is the state of a server by its recent failures.
//
// An ejected server gets no new attempts until a probe succeeds, except as the last resort of a placement
// without readings. For a server that answered attempts with errors, only a probe at or after ejectedUntil
// counts.
type health struct {
	ejected           bool
	ejectedUntil      time.Duration // placements do not probe an ejected server before this time
	consecutiveErrors int           // consecutive attempts that the server answered with an error
	missedProbes      int           // consecutive probes without a reading
	unansweredProbes  int           // consecutive probes without any answer
}

// inBackoff reports whether the server is ejected and must not be probed yet.
func (h *health) inBackoff(now time.Duration) bool { return h.ejected && now < h.ejectedUntil }

// answersWithErrors reports whether the server answered its latest probe with an error, as a draining server
// does before the endpoint list shows that it drains.
func (h *health) answersWithErrors() bool { return h.missedProbes > h.unansweredProbes }

// silent reports whether the server is taken for dead.
func (h *health) silent() bool { return h.unansweredProbes >= consecutiveFailureThreshold }

// outlierRule ejects servers that fail, and ends their ejection.
type outlierRule struct {
	*environment
	timeouts *setupTimeouts
}

// recordAttempt updates a server's health from the status of an attempt that ended in the given phase of its
// request. A server that returns a request unprocessed only leaves the pool until its next reading.
func (o *outlierRule) recordAttempt(s *serverState, status Status, phase requestPhase) {
	switch status {
	case Errored, ConnectFailed, TimedOut:
		if phase == phaseInFlight {
			o.recordFailedAttempt(s, status)
		}
	case Reset:
		o.recordFailedAttempt(s, status)
	case AtCapacity:
		s.reading.invalidate()
	}
}

// recordFailedAttempt ejects a server after a failed attempt. A server that quickly answers attempts with
// errors looks idle and answers probes well, so it also stays ejected for a time that doubles with each
// error.
func (o *outlierRule) recordFailedAttempt(s *serverState, status Status) {
	o.ejectServer(s, status)
	switch status {
	case TimedOut:
		o.timeouts.recordTimeout()
	case Errored:
		s.health.consecutiveErrors++
		wait := o.jitteredBackoff(ejectionBackoff, s.health.consecutiveErrors, maxErrorEjection)
		s.health.ejectedUntil = o.now + wait
	}
}

// ejectServer removes a failing server from the probe pool. A server that accepts no connection has died: it
// will be in slow start when it returns, before the endpoint list shows its restart.
func (o *outlierRule) ejectServer(s *serverState, status Status) {
	s.health.ejected = true
	s.reading.invalidate()
	if status == ConnectFailed {
		s.startSlowStart(o.now)
	}
}

// recordProbeSuccess records that a server answered a probe, which ends its ejection if its time is over. A
// server with a very low load after a failure is a new process, before the endpoint list shows its restart.
func (o *outlierRule) recordProbeSuccess(s *serverState, load, poolLoadMean float64) {
	h := &s.health
	if h.ejected && h.consecutiveErrors == 0 && load < poolLoadMean/2 {
		s.startSlowStart(o.now)
	}
	h.missedProbes, h.unansweredProbes = 0, 0
	if h.consecutiveErrors == 0 || o.now >= h.ejectedUntil {
		h.ejected = false
	}
}

// recordProbeFailure records a probe without a reading: the server is ejected, and probed again only after a
// backoff rather than at each arrival.
func (o *outlierRule) recordProbeFailure(s *serverState, status Status) {
	o.ejectServer(s, status)
	h := &s.health
	h.missedProbes++
	if status == Errored {
		h.unansweredProbes = 0
	} else {
		h.unansweredProbes++
	}
	wait := o.jitteredBackoff(readingTTL/2, h.missedProbes-consecutiveFailureThreshold, ejectionBackoff)
	h.ejectedUntil = o.now + wait
}
