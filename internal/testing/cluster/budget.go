package cluster

import "slices"

// SlowStartBudget is what all relays together may send to a cold server, as rule 4 has it: in any time, a multiple of what
// fills it over its warm-up, at the capacity that it has by then.
type SlowStartBudget struct {
	StartCapacity     float64 // part of its capacity that it starts with
	ColdMs            float64
	OverloadFactor    float64
	LoadPerConnection float64 // what a connection adds to its load
}

// Allowed is how many connections may come within the first ms of a cold server.
func (b SlowStartBudget) Allowed(ms float64) float64 {
	t := min(ms, b.ColdMs)
	warmth := b.StartCapacity*t + (1-b.StartCapacity)*t*t/(2*b.ColdMs) // its integral
	return b.OverloadFactor * warmth / (b.LoadPerConnection * b.ColdMs)
}

// PeakUse is the greatest part of the allowance that was used up at any moment of a cold server's warm-up, once so
// many connections may have come that one more or less says little.
func (b SlowStartBudget) PeakUse(came []float64, began float64) (most float64) {
	slices.Sort(came)
	for i, at := range came {
		if may := b.Allowed(at - began); may >= 50 {
			most = max(most, float64(i+1)/may)
		}
	}
	return most
}
