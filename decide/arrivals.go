package decide

import (
	"math"
	"time"
)

// arrivalRate measures the rate of requests to this relay.
type arrivalRate struct {
	*environment
	requestsTotal   float64       // since the start
	recentRequests  float64       // of the last overload window, decaying exponentially
	recentUpdatedAt time.Duration // when the decay of recentRequests was last applied
}

// recordRequest counts a request.
func (a *arrivalRate) recordRequest() {
	a.requestsTotal++
	a.decay()
	a.recentRequests++
}

// requestRate is the present rate in requests per second: the requests of the last overload window plus one,
// over the window plus the mean interval between requests since the start. Without that interval, a single
// request at a relay that gets one in ten seconds would count as a rate of one per window.
func (a *arrivalRate) requestRate() float64 {
	a.decay()
	window := a.settings.Rules.OverloadWindow.Seconds()
	meanInterval := (a.uptime().Seconds() + window) / max(a.requestsTotal, 1)
	return (1 + a.recentRequests) / (meanInterval + window)
}

// meanConnectionLife is the mean time in seconds that a connection stays open: own connections over the mean
// request rate since the start (Little's law).
func (a *arrivalRate) meanConnectionLife(ownConnections int) float64 {
	return float64(ownConnections) * a.uptime().Seconds() / (a.requestsTotal + 1)
}

// decay reduces recentRequests by the time since its last update.
func (a *arrivalRate) decay() {
	window := a.settings.Rules.OverloadWindow.Seconds()
	a.recentRequests *= math.Exp(-(a.now - a.recentUpdatedAt).Seconds() / window)
	a.recentUpdatedAt = a.now
}
