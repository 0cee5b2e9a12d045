package membership

import (
	"math"
	"time"

	"capersail/internal/fleet/duration"
)

// MeterInterval is how often a Meter is to be read.
const MeterInterval = 250 * time.Millisecond

const (
	requestRateWindow = 2 * time.Second        // over which arrivals are smoothed
	drainRateWindow   = 400 * time.Millisecond // over which connections that go are smoothed
	minDrainRate      = 0.1                    // connections a second; less counts as none
)

// Meter makes the rates that a relay tells of itself from counts that only rise. The zero Meter is ready.
type Meter struct {
	readAt          time.Duration // 0 for never
	arrivals        uint64
	openConnections int
	requestRate     float64 // a second
	drainRate       float64 // a second
}

// LocalState is what a relay does now: arrivals are all requests that have come to it, openConnections
// what it holds.
func (m *Meter) LocalState(
	now time.Duration, lifecycle Lifecycle, arrivals uint64, openConnections int,
) LocalState {
	drainRate := 0.0
	if elapsed := now - m.readAt; m.readAt > 0 && elapsed > 0 {
		arrived := float64(arrivals - m.arrivals)
		m.requestRate = smooth(m.requestRate, perSecond(arrived, elapsed), elapsed, requestRateWindow)
		if lifecycle >= LifecycleDraining {
			gone := float64(max(m.openConnections-openConnections, 0))
			drainRate = smooth(m.drainRate, perSecond(gone, elapsed), elapsed, drainRateWindow)
		}
		if drainRate < minDrainRate {
			drainRate = 0
		}
	}
	m.readAt, m.arrivals, m.openConnections, m.drainRate = now, arrivals, openConnections, drainRate
	return LocalState{
		Lifecycle:       lifecycle,
		RequestRate:     math.Round(m.requestRate*100) / 100,
		OpenConnections: openConnections,
		DrainRate:       math.Round(drainRate*10) / 10,
	}
}

// perSecond is a count over a span as a rate.
func perSecond(count float64, span time.Duration) float64 {
	return count / duration.Millis(span) * 1000
}

// smooth moves a rate towards the newest one, exponentially over a window.
func smooth(rate, newest float64, elapsed, window time.Duration) float64 {
	weight := 1 - math.Exp(-duration.Millis(elapsed)/duration.Millis(window))
	return rate + weight*(newest-rate)
}
