package decide

import (
	"slices"
	"time"
)

// slowStartBudgetUse is the part of the fleet-wide budget for a server in slow start that all relays together
// use, 0 to 1: what they know of each other is late by a report.
const slowStartBudgetUse = 0.8

// slowStart is a server's warm-up, and what this relay has sent it within the overload window.
type slowStart struct {
	startedAt      time.Duration   // of the warm-up, -1 if the server is warm
	recentAttempts []time.Duration // when own attempts were sent, warm or not, within the overload window
	recentDemand   []time.Duration // when one in slow start was a candidate here, within it
}

// startSlowStart starts a server's warm-up: it is another process now.
func (s *serverState) startSlowStart(at time.Duration) {
	s.slowStart.startedAt = at
	s.health.consecutiveErrors = 0
	s.reading.invalidate()
}

// recordAttempt counts an attempt.
func (s *slowStart) recordAttempt(now, window time.Duration) {
	s.recentAttempts = append(dropOlder(s.recentAttempts, now, window), now)
}

// recentAttemptCount is how many attempts this relay has sent within the window.
func (s *slowStart) recentAttemptCount(now, window time.Duration) float64 {
	s.recentAttempts = dropOlder(s.recentAttempts, now, window)
	return float64(len(s.recentAttempts))
}

// recordDemand notes that one more would go there, and tells how many others would have within the window.
func (s *slowStart) recordDemand(now, window time.Duration) float64 {
	s.recentDemand = append(dropOlder(s.recentDemand, now, window), now)
	return float64(len(s.recentDemand) - 1)
}

// capacityFraction is the part of its capacity, 0 to 1, that the server has at least. It rises linearly from
// Rules.SlowStartCapacity to 1 over Rules.SlowStartWindow.
func (s *slowStart) capacityFraction(now time.Duration, rules *Rules) float64 {
	if s.startedAt < 0 || now-s.startedAt >= rules.SlowStartWindow {
		return 1
	}
	start := rules.SlowStartCapacity
	return start + (1-start)*float64(now-s.startedAt)/float64(rules.SlowStartWindow)
}

func dropOlder(times []time.Duration, now, window time.Duration) []time.Duration {
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

// capacityFraction is the part of its capacity, 0 to 1, that a server has at least now.
func (e *environment) capacityFraction(s *serverState) float64 {
	return s.slowStart.capacityFraction(e.now, &e.settings.Rules)
}

// drawSlowStartBudget draws whether this relay may send a server in slow start one more: its share of what
// all relays may send together, spread over how often that server is a candidate here now. Chances do not
// add up, so a surge keeps within it.
func (b *slowStartBudget) drawSlowStartBudget(s *serverState) bool {
	rules := &b.settings.Rules
	perSecond := b.fleetBudget(s) * b.fleet.budgetShare(b.now, s.Zone)
	candidates := len(b.endpoints.serversByZone[s.Zone])
	if b.settings.GroupAffinity || b.fleet.status.SharesReadings { // both draw from all zones
		candidates = b.endpoints.listedCount()
	}
	byArrivals := b.arrivals.requestRate() * min(1, probesPerPlacement/float64(candidates))
	byDemand := s.slowStart.recordDemand(b.now, rules.OverloadWindow) / rules.OverloadWindow.Seconds()
	encounters := max(byArrivals, byDemand) // a second
	drawn := b.rng.Float64()*encounters < perSecond
	if !drawn {
		return false
	}
	// A surge shows too late in its rate: what was sent counts too. So may this relay's earlier process have.
	window := min(rules.OverloadWindow, b.uptime())
	sent := s.slowStart.recentAttemptCount(b.now, rules.OverloadWindow)
	return sent < 1+perSecond*window.Seconds()
}

// fleetBudget is how many connections a second all relays together may send to a server in slow start. A
// warm server holds one for each loadPerConnection of its capacity, and turns them over in a mean life; one
// in slow start falls over beyond Rules.OverloadFactor times its present part of that.
func (b *slowStartBudget) fleetBudget(s *serverState) float64 {
	perConnection := b.load.loadPerConnection()
	if perConnection == 0 { // not known: a server that holds the mean is taken for full
		listed := float64(b.endpoints.listedCount())
		connections := b.fleet.fleetConnections(b.requests.ownConnections)
		perConnection = admissionLoadLimit * listed / max(connections, listed)
	}
	rules := &b.settings.Rules
	life := max(rules.SlowStartWindow.Seconds(), b.arrivals.meanConnectionLife(b.requests.ownConnections))
	return slowStartBudgetUse * rules.OverloadFactor * b.capacityFraction(s) / perConnection / life
}
