package decide

import (
	"math"
	"time"
)

// arrivalRate measures how often requests come to this relay.
type arrivalRate struct {
	*environment
	requestsTotal   float64       // since the start
	recentRequests  float64       // of the last overload window, fading exponentially
	recentUpdatedAt time.Duration // when recentRequests was last faded
}

// recordRequest counts a request.
func (a *arrivalRate) recordRequest() {
	a.requestsTotal++
	a.fade()
	a.recentRequests++
}

// requestRate is how many requests a second come here now: those of the last overload window, and one that
// counts for the time in which one comes at this relay's usual rate. Where a relay gets a request in ten
// seconds, the one that it just got would else stand for as many as fit the window.
func (a *arrivalRate) requestRate() float64 {
	a.fade()
	window := a.settings.Rules.OverloadWindow.Seconds()
	usualGap := (a.uptime().Seconds() + window) / max(a.requestsTotal, 1)
	return (1 + a.recentRequests) / (usualGap + window)
}

// meanConnectionLife is how long a connection stays open, in seconds, by those open now and those that have
// come.
func (a *arrivalRate) meanConnectionLife(ownConnections int) float64 {
	return float64(ownConnections) * a.uptime().Seconds() / (a.requestsTotal + 1)
}

func (a *arrivalRate) fade() {
	window := a.settings.Rules.OverloadWindow.Seconds()
	a.recentRequests *= math.Exp(-(a.now - a.recentUpdatedAt).Seconds() / window)
	a.recentUpdatedAt = a.now
}
