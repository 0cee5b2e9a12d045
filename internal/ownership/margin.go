package ownership

import "time"

// The margin. The service expires a session no sooner than its timeout, by its own clock, after it last
// received something. A relay knows when it sent the last request that was answered, which is no later. It
// stops trusting its lease at
//
//	renewedAt + timeout - timeout/ClockDriftDivisor - ExpiryMargin
//
// so that its service of a stream is over when another relay can acquire it at the earliest.
const (
	// ClockDriftDivisor bounds clock drift: a relay's clock runs at most 1/ClockDriftDivisor slower than the
	// service's.
	ClockDriftDivisor = 20

	// ExpiryMargin is the time to end a stream in, from the end of the trust to the end of the session:
	//
	//	1000 ms  stuckWrite: a write to a stuck client, splice.WriteTimeout
	//	 250 ms  tickInterval: between two checks of the clock
	//	 250 ms  spare
	ExpiryMargin = stuckWrite + tickInterval + spare

	stuckWrite   = 1000 * time.Millisecond
	tickInterval = 250 * time.Millisecond
	spare        = 250 * time.Millisecond

	// MinSessionTimeout is the shortest session that leaves time to serve within the margin.
	MinSessionTimeout = 4000 * time.Millisecond
)
