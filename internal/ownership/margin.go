package ownership

// The margin. A service expires a session no sooner than its time-out, by its clock, after it last heard of
// it. A relay knows when it sent the last thing that was answered, which is no later. It stops trusting its
// claims at proven + session*(1-Drift) - Grace, so that all is over when another can win:
//
//	Grace = 1000 (a write to a stuck client, splice.WriteWithin) + 250 (between two looks) + 250 (to spare)
const (
	MaxClockDrift = 1.0 / 20 // by how much a relay's clock may run slower than the service's
	ExpiryMargin  = 1500.0
	// MinSessionTimeout is the shortest session that leaves time to serve: a ping goes out each third of it.
	MinSessionTimeout = 4000.0
)
