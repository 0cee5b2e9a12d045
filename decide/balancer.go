package decide

import "time"

// Balancer makes one relay's decisions. It passes each event to the parts that it concerns; each part decides
// in its own file. It is not safe for concurrent use.
type Balancer struct {
	*environment

	// State that decisions are based on.
	endpoints *endpointSet
	requests  *requestTable
	fleet     *fleetView
	arrivals  *arrivalRate
	load      *loadModel
	pool      *probePool
	timeouts  *setupTimeouts

	// Parts that decide.
	outliers   *outlierRule
	dispatch   *dispatcher
	retry      *retryRule
	rejections *rejectionRule
	polling    *discoveryPolling
	rebalance  *rebalancer
}

// New returns the Balancer of a relay that has just started. Invalid settings are replaced by the nearest
// valid ones. The same settings, seed and events produce the same actions.
func New(settings Settings, seed uint64) *Balancer {
	settings = validSettings(settings)
	env := newEnvironment(settings, seed)
	endpoints := newEndpointSet(settings.Zones)
	requests := newRequestTable(env, endpoints)
	fleet := newFleetView(settings.Relays)
	arrivals := &arrivalRate{environment: env}
	load := &loadModel{
		environment: env,
		endpoints:   endpoints,
		requests:    requests,
		fleet:       fleet,
		quota:       newQuota(settings.Tenants),
	}
	b := &Balancer{
		environment: env,
		endpoints:   endpoints,
		requests:    requests,
		fleet:       fleet,
		arrivals:    arrivals,
		load:        load,
		timeouts:    &setupTimeouts{environment: env},
		rejections:  &rejectionRule{environment: env, requests: requests},
		polling:     &discoveryPolling{environment: env, fleet: fleet},
	}
	b.outliers = &outlierRule{environment: env, timeouts: b.timeouts}
	b.retry = &retryRule{
		environment: env,
		budget:      newRetryBudget(len(settings.Tenants)),
		rejections:  b.rejections,
	}
	b.pool = &probePool{
		environment: env,
		endpoints:   endpoints,
		fleet:       fleet,
		load:        load,
		outliers:    b.outliers,
		probeRTT:    initialProbeRTT,
	}
	b.buildPlacement()
	return b
}

// buildPlacement constructs the parts that choose servers, from the parts that New has constructed.
func (b *Balancer) buildPlacement() {
	affinity := &groupAffinity{environment: b.environment, endpoints: b.endpoints}
	admit := &admission{
		environment: b.environment,
		endpoints:   b.endpoints,
		pool:        b.pool,
		load:        b.load,
		arrivals:    b.arrivals,
		fleet:       b.fleet,
	}
	place := &placement{
		environment: b.environment,
		endpoints:   b.endpoints,
		fleet:       b.fleet,
		pool:        b.pool,
		affinity:    affinity,
		load:        b.load,
		admission:   admit,
		budget: &slowStartBudget{
			environment: b.environment,
			endpoints:   b.endpoints,
			requests:    b.requests,
			arrivals:    b.arrivals,
			fleet:       b.fleet,
			load:        b.load,
		},
	}
	b.dispatch = &dispatcher{
		environment: b.environment,
		endpoints:   b.endpoints,
		requests:    b.requests,
		pool:        b.pool,
		affinity:    affinity,
		placement:   place,
		admission:   admit,
		timeouts:    b.timeouts,
		polling:     b.polling,
		rejections:  b.rejections,
	}
	b.rebalance = &rebalancer{
		environment: b.environment,
		endpoints:   b.endpoints,
		requests:    b.requests,
		fleet:       b.fleet,
		pool:        b.pool,
		load:        b.load,
		placement:   place,
		dispatch:    b.dispatch,
	}
}

// Handle processes one event, appends the actions to carry out to out, and returns it. now is the time since
// an origin of the caller's choice, the same origin as that of the times in events, and must not decrease
// from call to call.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.begin(now, out)
	switch e := ev.(type) {
	case WatchEvent:
		b.recordWatchEvent(e)
	case Request:
		r := b.requests.trackRequest(e)
		b.arrivals.recordRequest()
		b.retry.budget.addTokens(r.Tenant)
		b.dispatch.probeThenPlace(r)
	case Inherited:
		b.requests.trackInheritedConnection(e)
		b.rebalance.scheduleLoadCheck()
	case Opened:
		b.recordConnectionOpened(e)
	case Outcome:
		b.recordOutcome(e)
	case ClientGone:
		if r := b.requests.requests[e.ID]; r != nil {
			b.requests.endRequest(r)
		}
	case TimerFired:
		b.resumeTimer(e.Token)
	case ProbeResult:
		b.recordProbeResult(e)
	case GossipReading:
		b.pool.recordGossip(e)
	case FleetStatus:
		b.fleet.recordFleetStatus(e)
	case MessageDelay:
		if r := b.requests.requests[e.ID]; r != nil {
			b.pool.recordMessageDelay(e, r)
		}
	}
	return b.actions
}

func (b *Balancer) recordWatchEvent(e WatchEvent) {
	if e.Kind == WatchFailed {
		b.polling.recordPollFailure()
		return
	}
	b.polling.recordListEvent(e.Kind)
	b.endpoints.apply(e, b.now, b.settings.Rules.SlowStartWindow)
	b.dispatch.releaseListWaiters()
}

func (b *Balancer) recordConnectionOpened(e Opened) {
	b.timeouts.recordSetupLatency(e.SetupLatency)
	b.endpoints.stateOf(e.Server).health.consecutiveErrors = 0
	r := b.requests.requests[e.ID]
	if r == nil || r.phase == phaseDone {
		return
	}
	r.phase = phaseOpen
	b.rejections.keyFailures.clearFailures(r.Key)
	b.rebalance.scheduleLoadCheck()
}

// recordOutcome ends an attempt. If its connection was never opened, the request gets a retry or a final
// answer.
func (b *Balancer) recordOutcome(e Outcome) {
	r := b.requests.requests[e.ID]
	if r == nil || r.attempts == 0 {
		return
	}
	phase := r.phase
	b.requests.removeConnection(r)
	b.outliers.recordAttempt(b.endpoints.stateOf(e.Server), e.Status, phase)
	if e.Closed || phase == phaseDone || phase == phaseOpen {
		b.requests.endRequest(r)
		return
	}
	b.requests.recordPossibleRun(r, e)
	b.retry.retryOrReject(r)
}

func (b *Balancer) recordProbeResult(e ProbeResult) {
	b.pool.recordProbeResult(e)
	b.rebalance.recordProbeResult(e)
	b.dispatch.countProbeResult()
}

func (b *Balancer) resumeTimer(token uint64) {
	switch kind, id := splitToken(token); kind {
	case timerRequest:
		b.dispatch.resumeRequest(RequestID(id))
	case timerLoadCheck:
		b.rebalance.checkLoad()
	case timerDiscovery:
		b.polling.pollDiscovery(id)
	case timerMigrate:
		b.rebalance.migrateExcess(ServerID(id), &b.endpoints.servers[id])
	}
}
