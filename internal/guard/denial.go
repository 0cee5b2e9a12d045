package guard

// Denial is the reason why something may not be done now.
type Denial uint8

// The denials.
const (
	// Allowed is the zero Denial: nothing stands in the way.
	Allowed Denial = iota
	// RequestNotPending: the request has its answer or is established, or the attempt has been canceled.
	RequestNotPending
	// AttemptInFlight: another attempt of the request is in flight.
	AttemptInFlight
	// AttemptsExhausted: the request has had as many attempts as the settings allow.
	AttemptsExhausted
	// AttemptTimedOut: the attempt's deadline has passed.
	AttemptTimedOut
	// ClientGone: the client has closed, or has broken the protocol.
	ClientGone
	// ServerNotReady: the server is draining, manually ejected or gone.
	ServerNotReady
	// EndpointLeaseExpired: the endpoint list has not been confirmed for too long.
	EndpointLeaseExpired
	// MayHaveRun: an earlier attempt may have run, and the request is not idempotent.
	MayHaveRun
	// DedupWindowOver: servers no longer recognize a retry by its idempotency key.
	DedupWindowOver
	// OutsideDedupScope: the server does not share idempotency keys with the one that may have run the
	// request.
	OutsideDedupScope
	// RelayShuttingDown: the relay shuts down, or is drained by an operator.
	RelayShuttingDown
	// NameTaken: another open request has the same name.
	NameTaken
	// OwnershipLost: the ownership lease of the stream may be lost.
	OwnershipLost

	denialCount
)

// denialNames are values of the metric relay_denied's label: operators' dashboards know them.
var denialNames = [denialCount]string{
	Allowed:              "allowed",
	RequestNotPending:    "not waiting",
	AttemptInFlight:      "attempt out",
	AttemptsExhausted:    "attempts spent",
	AttemptTimedOut:      "time over",
	ClientGone:           "client gone",
	ServerNotReady:       "server not ready",
	EndpointLeaseExpired: "list lapsed",
	MayHaveRun:           "may have run",
	DedupWindowOver:      "window over",
	OutsideDedupScope:    "other servers",
	RelayShuttingDown:    "relay leaving",
	NameTaken:            "name taken",
	OwnershipLost:        "claim lapsed",
}

// String returns the denial's name in logs and metrics, "unknown" for a value that is none.
func (d Denial) String() string { return nameOf(denialNames[:], uint8(d)) }

// Denials returns all denials but Allowed.
func Denials() []Denial {
	var all []Denial
	for d := Allowed + 1; d < denialCount; d++ {
		all = append(all, d)
	}
	return all
}

// nameOf returns the name of an enumeration's value, "unknown" if it has none.
func nameOf(names []string, value uint8) string {
	if int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}
