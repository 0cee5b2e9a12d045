package decide

import "time"

const (
	// ejectionBackoff is the base of the time for which a server that answers with errors stays ejected, and
	// the most that a failed probe costs.
	ejectionBackoff = 4 * time.Second
	// maxErrorEjection bounds the time for which a server that answers with errors stays ejected.
	maxErrorEjection = time.Minute
	// failuresBeforeReaction is how many failures in a row are no accident: of a server's probes, of set-ups.
	failuresBeforeReaction = 2
)

// health is what a server's failures say of it.
//
// An ejected server gets nothing new, but as the last resort of a placement without readings, until a probe
// succeeds; one that answered attempts with errors only by a probe at or after ejectedUntil.
type health struct {
	ejected           bool
	ejectedUntil      time.Duration // no placement has it probed before
	consecutiveErrors int           // attempts in a row that it answered with an error
	missedProbes      int           // probes in a row that brought no reading
	unansweredProbes  int           // and no answer at all
}

// inBackoff tells whether the server is ejected and not to be probed yet.
func (h *health) inBackoff(now time.Duration) bool { return h.ejected && now < h.ejectedUntil }

// answersWithErrors tells whether it answered the latest probe with an error, as one does that drains before
// the endpoint list tells.
func (h *health) answersWithErrors() bool { return h.missedProbes > h.unansweredProbes }

// silent tells whether the server is taken for dead.
func (h *health) silent() bool { return h.unansweredProbes >= failuresBeforeReaction }

// outlierRule ejects servers that fail, and takes them back.
type outlierRule struct {
	*environment
	timeouts *setupTimeouts
}

// recordAttempt notes how an attempt ended that was in that phase. A server that sends a request back
// unseen is only out of the pool until its next reading.
func (o *outlierRule) recordAttempt(s *serverState, status Status, phase requestPhase) {
	switch status {
	case Errored, ConnectFailed, TimedOut:
		if phase == phaseInFlight {
			o.recordFault(s, status)
		}
	case Reset:
		o.recordFault(s, status)
	case AtCapacity:
		s.reading.invalidate()
	}
}

// recordFault notes an attempt that failed at a server. One that answers fast with errors looks idle and
// answers probes well, so it also stays ejected for a time that doubles with each failure.
func (o *outlierRule) recordFault(s *serverState, status Status) {
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

// ejectServer takes a failing server out of the probe pool at once. One that no connection can be made to has
// died, and is in slow start when it comes back, before the endpoint list tells.
func (o *outlierRule) ejectServer(s *serverState, status Status) {
	s.health.ejected = true
	s.reading.invalidate()
	if status == ConnectFailed {
		s.startSlowStart(o.now)
	}
}

// recordProbeSuccess notes that a server answered a probe; it is taken back if its time is over. One that
// holds next to nothing after a failure is a new process, which the endpoint list will tell of later.
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

// recordProbeFailure notes a probe without a reading: the server is ejected, and probed again after a
// backoff, not on every arrival that meets it.
func (o *outlierRule) recordProbeFailure(s *serverState, status Status) {
	o.ejectServer(s, status)
	h := &s.health
	h.missedProbes++
	if status == Errored {
		h.unansweredProbes = 0
	} else {
		h.unansweredProbes++
	}
	wait := o.jitteredBackoff(readingFreshFor/2, h.missedProbes-failuresBeforeReaction, ejectionBackoff)
	h.ejectedUntil = o.now + wait
}
