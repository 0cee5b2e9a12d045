package decide

import "time"

const (
	firstPollTimer = 1 // timer id of the first poll; 0 is the id of all later polls

	// pollRetryInterval bounds the backoff after a failed poll: half of the time in which watch events have
	// to come.
	pollRetryInterval = 3 * time.Second
	// pollsPerPollDeadline is how many polls discovery is sure to process within Rules.PollDeadline.
	pollsPerPollDeadline = 140
	// minPollBackoffTicks is the least base of the backoff, in ticks.
	minPollBackoffTicks = 100
)

// discoveryPolling decides when discovery is polled: at a phase offset after the start, and with backoff
// after failures.
type discoveryPolling struct {
	*environment
	fleet                   *fleetView
	consecutivePollFailures int
	firstPollPending        bool
	firstPollAdvanced       bool // the first poll has been moved forward for a waiting request
	hadUsableList           bool // some list has had a ready server
}

// recordPollFailure schedules the next poll after a backoff. Its base grows with the fleet as pollSpread
// does, up to a bound, beyond which receiving watch events soon matters more than spreading the polls.
func (p *discoveryPolling) recordPollFailure() {
	p.consecutivePollFailures++
	base := max(p.settings.Tick*minPollBackoffTicks, min(p.pollSpread(), pollRetryInterval*3/2))
	wait := p.jitteredBackoff(base, p.consecutivePollFailures, max(pollRetryInterval, base))
	p.setTimer(timerDiscovery, 0, wait)
}

// recordListEvent handles the arrival of a list. A list from discovery resets the failure count. A cached
// list schedules the first poll at this relay's phase offset within pollSpread, as all relays may have
// started at once.
func (p *discoveryPolling) recordListEvent(kind WatchKind) {
	switch {
	case kind == Delta || kind == Snapshot:
		p.consecutivePollFailures = 0
	case kind == CachedSnapshot && p.settings.MustSubscribe:
		p.firstPollPending = true
		p.setTimer(timerDiscovery, firstPollTimer, time.Duration(p.timerPhase*float64(p.pollSpread())))
	}
}

// pollSpread is the time over which the fleet spreads its polls: the time in which discovery processes one
// poll of each relay, including polls that relays have given up, but at most 3/4 of Rules.PollDeadline.
func (p *discoveryPolling) pollSpread() time.Duration {
	within := p.settings.Rules.PollDeadline
	return min(within/pollsPerPollDeadline*time.Duration(p.fleet.status.Relays), within*3/4)
}

// pollDiscovery polls discovery when its timer has fired. The first poll is sent only once.
func (p *discoveryPolling) pollDiscovery(timer uint64) {
	if timer == firstPollTimer && !p.firstPollPending {
		return
	}
	p.firstPollPending = false
	p.emit(Subscribe{})
}

// awaitsFirstList reports whether no list with a ready server has come yet, and one is expected.
func (p *discoveryPolling) awaitsFirstList() bool {
	return !p.hadUsableList && p.settings.MustSubscribe
}

// advanceFirstPoll moves a pending first poll forward, at most once.
func (p *discoveryPolling) advanceFirstPoll() {
	if !p.firstPollPending || p.firstPollAdvanced {
		return
	}
	p.firstPollAdvanced = true
	p.setTimer(timerDiscovery, firstPollTimer, time.Duration(p.rng.Float64()*float64(p.pollSpread()/2)))
}

// recordListedServers records how many servers are listed, and reports whether they are the first ones.
func (p *discoveryPolling) recordListedServers(listed int) bool {
	if p.hadUsableList || listed == 0 {
		return false
	}
	p.hadUsableList = true
	return true
}
