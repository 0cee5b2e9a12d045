package cluster

import (
	"slices"
	"time"
)

// SlowStartBudget is what all relays together may send to a server in slow start, as rule 4 has it: in any
// time, a multiple of what fills the server over its slow start, at the capacity that it has by then.
type SlowStartBudget struct {
	StartCapacity     float64 // the part of its capacity that the server starts with
	Window            time.Duration
	OverloadFactor    float64
	LoadPerConnection float64 // what a connection adds to the server's load
}

// Allowed returns how many connections may come within a time from the server's start.
func (b SlowStartBudget) Allowed(within time.Duration) float64 {
	part := min(within, b.Window).Seconds() / b.Window.Seconds()
	capacity := b.StartCapacity*part + (1-b.StartCapacity)*part*part/2 // its integral over the window
	return b.OverloadFactor * capacity / b.LoadPerConnection
}

// PeakUsage returns the greatest part of the allowance that was used up at any instant of a slow start, given
// when connections came and when the server started. Instants at which few connections are allowed do not
// count, as one more or less says little there.
func (b SlowStartBudget) PeakUsage(came []time.Duration, startedAt time.Duration) (peak float64) {
	const fewConnections = 50
	slices.Sort(came)
	for i, at := range came {
		if allowed := b.Allowed(at - startedAt); allowed >= fewConnections {
			peak = max(peak, float64(i+1)/allowed)
		}
	}
	return peak
}
