//go:build faults

package faultpoint

import (
	"slices"
	"time"
)

// CanConnect reports whether a connection to an address can be made: both ways have to be open.
func CanConnect(address string) bool {
	r := rules.Load()
	return !slices.Contains(r.Cut, address) && !slices.Contains(r.CutFrom, address)
}

// DrawPacketDelays draws what becomes of a packet to an address: it returns the delays after which copies of
// it are to be sent, none if it is lost.
func DrawPacketDelays(address string) (delays []time.Duration) {
	r := rules.Load()
	if slices.Contains(r.Cut, address) {
		return nil
	}
	random.Lock()
	defer random.Unlock()
	for again := true; again; again = random.Float64() < r.DuplicateFraction {
		if random.Float64() < r.LossFraction {
			continue
		}
		ms := r.DelayMs * random.Float64()
		if random.Float64() < r.LateFraction {
			ms += r.LateMs
		}
		delays = append(delays, time.Duration(ms*float64(time.Millisecond)))
	}
	return delays
}
