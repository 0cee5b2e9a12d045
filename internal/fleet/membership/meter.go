package membership

import (
	"math"
	"time"

	"capersail/internal/fleet/duration"
)

const (
	// MeterInterval is how often a Meter is to be read.
	MeterInterval     = 250 * time.Millisecond
	requestRateWindow = 2 * time.Second        // requests that come are smoothed over so long
	drainRateWindow   = 400 * time.Millisecond // connections sent away over so long
)

// Meter makes the rates that a relay tells of itself from counts that only rise. The zero Meter is ready.
type Meter struct {
	at              time.Duration
	arrivals        uint64
	openConnections int
	requestRate     float64
	drainRate       float64
}

// LocalState is what a relay does now, from what it does, how many requests have come to it in all, and what it holds.
func (m *Meter) LocalState(now time.Duration, doing Lifecycle, arrivals uint64, held int) LocalState {
	over := duration.Millis(now - m.at)
	if m.at <= 0 || over <= 0 {
		over = 0
	}
	sent := 0.0
	if over > 0 {
		m.requestRate += (1 - math.Exp(-over/duration.Millis(requestRateWindow))) * (float64(arrivals-m.arrivals)/over*1000 - m.requestRate)
		if doing >= Draining {
			if sent = m.drainRate + (1-math.Exp(-over/duration.Millis(drainRateWindow)))*(float64(max(m.openConnections-held, 0))/over*1000-m.drainRate); sent < 0.1 {
				sent = 0
			}
		}
	}
	m.arrivals, m.openConnections, m.at, m.drainRate = arrivals, held, now, sent
	return LocalState{Lifecycle: doing, RequestRate: math.Round(m.requestRate*100) / 100, OpenConnections: held, DrainRate: math.Round(sent*10) / 10}
}
