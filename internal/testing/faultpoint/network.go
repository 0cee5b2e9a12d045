//go:build faults

package faultpoint

import (
	"slices"
	"time"
)

// CanConnect reports whether a connection to an address can be established, which needs both directions to be
// open.
func CanConnect(address string) bool {
	r := currentRules.Load()
	return !slices.Contains(r.Cut, address) && !slices.Contains(r.CutFrom, address)
}

// DrawPacketDelays decides at random what happens to a packet to an address. It returns one delay for each
// copy of the packet to send, and none if the packet is lost.
func DrawPacketDelays(address string) (delays []time.Duration) {
	r := currentRules.Load()
	if slices.Contains(r.Cut, address) {
		return nil
	}
	packetRandom.Lock()
	defer packetRandom.Unlock()
	for again := true; again; again = packetRandom.Float64() < r.DuplicateFraction {
		if packetRandom.Float64() < r.LossFraction {
			continue
		}
		ms := r.DelayMs * packetRandom.Float64()
		if packetRandom.Float64() < r.LateFraction {
			ms += r.LateMs
		}
		delays = append(delays, time.Duration(ms*float64(time.Millisecond)))
	}
	return delays
}
