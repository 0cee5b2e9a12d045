package membership

import (
	"math"
	"time"

	"capersail/internal/fleet/duration"
)

// MeterInterval is the time between two readings of a Meter.
const MeterInterval = 250 * time.Millisecond

const (
	requestRateWindow = 2 * time.Second        // over which arrivals are smoothed
	drainRateWindow   = 400 * time.Millisecond // over which closed connections are smoothed
	minDrainRate      = 0.1                    // connections per second; a lower rate counts as 0
)

// Meter computes the rates in a relay's status from counters that only rise. The zero Meter is ready for use.
type Meter struct {
	readAt          time.Duration // time of the last reading, 0 for never
	arrivals        uint64
	openConnections int
	requestRate     float64 // per second
	drainRate       float64 // connections per second
}

// LocalState reads the meter and returns the relay's state. arrivals counts all requests that the relay has
// received so far; openConnections is how many connections it holds now.
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

// perSecond returns a count over a time span as a rate per second.
func perSecond(count float64, span time.Duration) float64 {
	return count / duration.Millis(span) * 1000
}

// smooth returns the exponentially weighted average of a rate and its newest value, over a window.
func smooth(rate, newest float64, elapsed, window time.Duration) float64 {
	weight := 1 - math.Exp(-duration.Millis(elapsed)/duration.Millis(window))
	return rate + weight*(newest-rate)
}
