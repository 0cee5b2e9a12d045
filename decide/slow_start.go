package decide

import (
	"slices"
	"time"
)

// slowStartBudgetUtilization is the fraction, 0 to 1, of the fleet-wide budget for a server in slow start
// that all relays together use. The rest is a margin, since what relays know of each other is late by one
// report.
const slowStartBudgetUtilization = 0.8

// slowStart is the state of a server's slow start, and what this relay has sent to it within the overload
// window.
type slowStart struct {
	startedAt      time.Duration   // start of the slow start, -1 if the server is warm
	recentAttempts []time.Duration // times of own attempts within the overload window, also to warm servers
	recentDemand   []time.Duration // times at which the server was a candidate, within that window
}

// startSlowStart puts a server into slow start. Its process is new, so its error count and its reading are
// dropped.
func (s *serverState) startSlowStart(at time.Duration) {
	s.slowStart.startedAt = at
	s.health.consecutiveErrors = 0
	s.reading.invalidate()
}

// recordAttempt records the time of an attempt.
func (s *slowStart) recordAttempt(now, window time.Duration) {
	s.recentAttempts = append(dropOutsideWindow(s.recentAttempts, now, window), now)
}

// recentAttemptCount is the number of attempts that this relay has sent within the window.
func (s *slowStart) recentAttemptCount(now, window time.Duration) float64 {
	s.recentAttempts = dropOutsideWindow(s.recentAttempts, now, window)
	return float64(len(s.recentAttempts))
}

// recordDemand records that the server is a candidate for a placement, and returns how many earlier times it
// was one within the window.
func (s *slowStart) recordDemand(now, window time.Duration) float64 {
	s.recentDemand = append(dropOutsideWindow(s.recentDemand, now, window), now)
	return float64(len(s.recentDemand) - 1)
}

// capacityFraction is the least fraction, 0 to 1, of its capacity that the server has. It rises linearly from
// Rules.SlowStartCapacity to 1 over Rules.SlowStartWindow.
func (s *slowStart) capacityFraction(now time.Duration, rules *Rules) float64 {
	if s.startedAt < 0 || now-s.startedAt >= rules.SlowStartWindow {
		return 1
	}
	start := rules.SlowStartCapacity
	return start + (1-start)*float64(now-s.startedAt)/float64(rules.SlowStartWindow)
}

func dropOutsideWindow(times []time.Duration, now, window time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(at time.Duration) bool { return now-at >= window })
}

// slowStartBudget limits what the fleet sends to a server in slow start (rule 4).
type slowStartBudget struct {
	*environment
	endpoints *endpointSet
	requests  *requestTable
	arrivals  *arrivalRate
	fleet     *fleetView
	load      *loadModel
}

// capacityFraction is the least fraction, 0 to 1, of its capacity that a server has now.
func (e *environment) capacityFraction(s *serverState) float64 {
	return s.slowStart.capacityFraction(e.now, &e.settings.Rules)
}

// drawSlowStartBudget draws at random whether this relay may send one more attempt to a server in slow start:
// its share of the fleet's budget over the rate at which the server is a candidate here. Unlike saved tokens,
// unused chances do not accumulate, so a surge stays within the budget.
func (b *slowStartBudget) drawSlowStartBudget(s *serverState) bool {
	rules := &b.settings.Rules
	perSecond := b.fleetBudget(s) * b.fleet.budgetShare(b.now, s.Zone)
	candidates := len(b.endpoints.serversByZone[s.Zone])
	if b.settings.GroupAffinity || b.fleet.status.SharesReadings { // candidates come from all zones
		candidates = b.endpoints.listedCount()
	}
	byArrivals := b.arrivals.requestRate() * min(1, probesPerPlacement/float64(candidates))
	byDemand := s.slowStart.recordDemand(b.now, rules.OverloadWindow) / rules.OverloadWindow.Seconds()
	candidateRate := max(byArrivals, byDemand) // per second
	drawn := b.rng.Float64()*candidateRate < perSecond
	if !drawn {
		return false
	}
	// The rate rises too late in a surge, so the attempts sent are limited too. The window is capped by the
	// uptime, since an earlier process of this relay may have sent attempts that are not known here.
	window := min(rules.OverloadWindow, b.uptime())
	sent := s.slowStart.recentAttemptCount(b.now, rules.OverloadWindow)
	return sent < 1+perSecond*window.Seconds()
}

// fleetBudget is how many connections per second all relays together may send to a server in slow start. A
// warm server holds 1/loadPerConnection connections and replaces them once per mean connection life; a server
// in slow start fails beyond Rules.OverloadFactor times its present fraction of that rate.
func (b *slowStartBudget) fleetBudget(s *serverState) float64 {
	perConnection := b.load.loadPerConnection()
	if perConnection == 0 { // not known: assume that the mean number of connections fills a server
		listed := float64(b.endpoints.listedCount())
		connections := b.fleet.fleetConnections(b.requests.ownConnections)
		perConnection = admissionLoadLimit * listed / max(connections, listed)
	}
	rules := &b.settings.Rules
	life := max(rules.SlowStartWindow.Seconds(), b.arrivals.meanConnectionLife(b.requests.ownConnections))
	return slowStartBudgetUtilization * rules.OverloadFactor * b.capacityFraction(s) / perConnection / life
}
