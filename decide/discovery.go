package decide

import "time"

const (
	firstPollTimer = 1 // id of the timer for the first poll; 0 is that of all others

	// pollRetryInterval is the longest backoff after a failed poll: half of the time in which watch events
	// have to come.
	pollRetryInterval = 3 * time.Second
	// pollsPerPollDeadline is how many polls discovery surely works through in Rules.PollDeadline.
	pollsPerPollDeadline = 140
	// minPollBackoffTicks is the least base of the backoff, in ticks.
	minPollBackoffTicks = 100
)

// discoveryPolling decides when discovery is polled: with a phase offset after the start, with backoff after
// failures.
type discoveryPolling struct {
	*environment
	fleet                   *fleetView
	consecutivePollFailures int
	firstPollPending        bool
	firstPollExpedited      bool // a request waits for it
	hadUsableList           bool // some list has had a server to use
}

// recordPollFailure puts the next poll off. In large fleets the base of the backoff stays near pollSpread, up
// to a bound: to get watch events soon matters more than to spread the polls.
func (p *discoveryPolling) recordPollFailure() {
	p.consecutivePollFailures++
	least := max(p.settings.Tick*minPollBackoffTicks, min(p.pollSpread(), pollRetryInterval*3/2))
	wait := p.jitteredBackoff(least, p.consecutivePollFailures, max(pollRetryInterval, least))
	p.setTimer(timerDiscovery, 0, wait)
}

// recordAnswer notes a list. Any from discovery is an answer; a cached one has the first poll made
// at this relay's phase offset within pollSpread, as all relays may have started at once.
func (p *discoveryPolling) recordAnswer(kind WatchKind) {
	switch {
	case kind == Delta || kind == Snapshot:
		p.consecutivePollFailures = 0
	case kind == CachedSnapshot && p.settings.MustSubscribe:
		p.firstPollPending = true
		p.setTimer(timerDiscovery, firstPollTimer, time.Duration(p.timerPhase*float64(p.pollSpread())))
	}
}

// pollSpread is how long all relays take to poll discovery, which works through polls in turn, those given up
// too.
func (p *discoveryPolling) pollSpread() time.Duration {
	within := p.settings.Rules.PollDeadline
	return min(within/pollsPerPollDeadline*time.Duration(p.fleet.status.Relays), within*3/4)
}

// pollDiscovery polls: a timer for it has fired. The first poll is made only once.
func (p *discoveryPolling) pollDiscovery(timer uint64) {
	if timer == firstPollTimer && !p.firstPollPending {
		return
	}
	p.firstPollPending = false
	p.emit(Subscribe{})
}

// awaitsFirstList tells whether a list is still to come that has a server to use.
func (p *discoveryPolling) awaitsFirstList() bool {
	return !p.hadUsableList && p.settings.MustSubscribe
}

// expediteFirstPoll has the first poll made before its turn, once.
func (p *discoveryPolling) expediteFirstPoll() {
	if !p.firstPollPending || p.firstPollExpedited {
		return
	}
	p.firstPollExpedited = true
	p.setTimer(timerDiscovery, firstPollTimer, time.Duration(p.rng.Float64()*float64(p.pollSpread()/2)))
}

// recordList notes how many servers are listed, and returns whether these are the first.
func (p *discoveryPolling) recordList(listed int) bool {
	if p.hadUsableList || listed == 0 {
		return false
	}
	p.hadUsableList = true
	return true
}
