// Package decide makes a relay's decisions: where each long-lived connection goes, when to try again,
// when to refuse, when to move a connection. Its types, events and actions are in decide/types.go.
package decide

import "time"

const (
	tolerableFalseTimeouts      = 0.001                   // tolerable part of set-ups timed out that would have come
	setupLatenciesKept          = 128                     // set-up times that the percentile is taken over
	minTimeoutOverMedian        = 3                       // least multiple of the median that the percentile is padded to
	probesPerPlacement          = 4                       // fresh readings that a placement wants to choose from
	readingFreshFor             = time.Second             // a reading this young counts as fresh
	retryTokensPerRequest       = 0.2                     // retry tokens that an arrival earns its tenant
	maxRetryTokens              = 2.0                     // most tokens a tenant can save up
	admissionLoadLimit          = 0.75                    // no backend is given more beyond this load; most is served near it
	slowStartBudgetUse          = 0.8                     // part of a cold backend's budget that all relays together use
	loadWatchInterval           = 2 * time.Second         // held backends are looked at this often
	watchedLoad                 = 0.5                     // held backends are watched while the pool's mean is over this
	rebalanceTargetLoad         = 0.65                    // an overdriven backend is brought down to this, onto ones under it
	rebalanceTriggerLoad        = 0.85                    // a backend over this is overdriven
	loadReportDelay             = 700 * time.Millisecond  // a reading counts nothing that is younger than this
	delayNoteInterval           = 1100 * time.Millisecond // a note of delay comes again within this
	quotaCapacityShare          = 0.8                     // part of all backends' capacity that tenants' quotas add up to
	maxLoadOverQuotaMean        = 2.5                     // most that a connection adds, by what groups pay, over its mean
	uninformativeConnections    = 4                       // own connections at a backend that tell little of it
	groupSpillLoad              = 0.6                     // a group goes to its next backend beyond this
	failuresBeforeReaction      = 2                       // probes in a row that a silent backend leaves unanswered
	ejectionBackoff             = 4 * time.Second         // an erring backend is left out for up to this, doubling
	pollRetryInterval           = 3 * time.Second         // discovery is called again within this: news may take 6 s
	discoveryCallsPerPollWithin = 140                     // calls that discovery surely works through in AskWithin
	maxCandidates               = 128                     // readings that a placement looks at: among them one of the best 3%
)

const ( // kinds of timer, in the low bits of a token
	timerRequest   = iota // a held request: its probes or its back-off are due
	timerLoadWatch        // look at the backends that hold our connections
	timerDiscovery
	timerMigrate // a backend's connections are to go, and a better place has been asked for
	timerKinds
)

// Handle takes one event and appends what is to be done about it to out. Time never goes back.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = now, out
	if b.startedAt < 0 {
		b.startedAt = now
	}
	switch e := ev.(type) {
	case WatchEvent:
		b.applyWatchEvent(e)
	case Request:
		r := b.trackRequest(e)
		b.requestsTotal++
		b.requestRate()
		b.recentRequests++
		b.retryTokens[r.Tenant] = min(maxRetryTokens, b.retryTokens[r.Tenant]+retryTokensPerRequest)
		b.probeThenPlace(r)
	case Inherited:
		r := b.trackRequest(e.Request)
		r.attempts, r.phase, r.server = 1, phaseOpen, e.Server
		b.addConnection(r)
		b.scheduleLoadWatch()
	case Opened:
		b.recordSetupLatency(e.SetupLatency)
		b.consecutiveSetupTimeouts, b.stateOf(e.Server).consecutiveErrors = 0, 0
		if r := b.requests[e.ID]; r != nil && r.phase != phaseDone {
			r.phase = phaseOpen
			b.keyFailures.clearFailures(r.Key)
			b.scheduleLoadWatch()
		}
	case Outcome:
		b.recordOutcome(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.endRequest(r)
		}
	case TimerFired:
		b.handleTimer(e.Token)
	case ProbeResult:
		b.recordProbeResult(e)
	case GossipReading:
		b.recordGossip(e)
	case FleetStatus:
		b.recordFleetStatus(e)
	case MessageDelay:
		if r := b.requests[e.ID]; r != nil {
			if aim := b.settings.Classes[r.Class].MessageLatencyObjective; aim > 0 && e.Delay > aim { // with no aim told none is late
				b.stateOf(e.Server).messagesLateUntil = b.now + delayNoteInterval
				b.sendProbe(e.Server)
			}
		}
	}
	return b.actions
}

func (b *Balancer) handleTimer(token uint64) {
	switch id := token / timerKinds; token % timerKinds {
	case timerRequest:
		r := b.requests[RequestID(id)]
		if r == nil || b.now < r.wakeAt {
			return
		}
		switch r.phase {
		case phaseQueued:
			b.dequeueRequest(r)
			b.placeRequest(r)
		case phaseBackoff:
			b.probeThenPlace(r)
		}
	case timerLoadWatch:
		b.loadWatchScheduled = false
		for i, dark := 0, !b.settings.ReportsMessageDelay; i < len(b.servers); i++ { // then one busy or unread is watched too
			s := &b.servers[i]
			if len(s.connections) > 0 && (b.poolLoadMean > watchedLoad || dark && (s.readLoad == 0 || s.loadGuessed || b.estimatedLoad(s) > watchedLoad)) {
				if b.fleetStatus.SharesReadings && s.readAt >= 0 && b.now-s.readAt <= b.readingMaxAge() {
					b.rebalanceServer(ServerID(i), s)
				} else {
					b.sendProbe(ServerID(i))
				}
			}
		}
		b.scheduleLoadWatch()
	case timerDiscovery:
		b.pollDiscovery(id)
	case timerMigrate:
		b.migrateExcess(ServerID(id), &b.servers[id])
	}
}
