package ownership

import "time"

// Safety margin of the lease. The service expires a session no earlier than one session timeout, by its own
// clock, after it last received a message. A relay knows when it sent the last request that was answered,
// which is no later than that. The relay stops trusting its lease at
//
//	renewedAt + timeout - timeout/ClockDriftDivisor - ExpiryMargin
//
// so that it has stopped serving a stream before another relay can acquire it.
const (
	// ClockDriftDivisor bounds clock drift: a relay's clock is at most 1/ClockDriftDivisor slower than the
	// service's clock.
	ClockDriftDivisor = 20

	// ExpiryMargin is the time for ending a stream, from ValidUntil to the earliest expiry of the session:
	//
	//	1000 ms  stuckWriteTimeout: one write to a client that does not read, up to splice.WriteTimeout
	//	 250 ms  tickInterval: time between two checks of the clock
	//	 250 ms  expirySlack: reserve
	ExpiryMargin = stuckWriteTimeout + tickInterval + expirySlack

	stuckWriteTimeout = 1000 * time.Millisecond
	tickInterval      = 250 * time.Millisecond
	expirySlack       = 250 * time.Millisecond

	// MinSessionTimeout is the shortest session timeout that leaves enough time to serve before ValidUntil.
	MinSessionTimeout = 4000 * time.Millisecond
)
