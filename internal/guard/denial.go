package guard

// Denial is the reason why the guard does not permit an action.
type Denial uint8

// The reasons for which the guard denies an action.
const (
	// Allowed is the zero Denial: the action is permitted.
	Allowed Denial = iota
	// RequestNotPending: the request has been answered or is established, or the attempt has been canceled.
	RequestNotPending
	// AttemptInFlight: another attempt of the request is in flight.
	AttemptInFlight
	// AttemptsExhausted: the request has used all attempts that the settings allow.
	AttemptsExhausted
	// AttemptTimedOut: the attempt's deadline has passed.
	AttemptTimedOut
	// ClientGone: the client has closed its connection, or has violated the protocol.
	ClientGone
	// ServerNotReady: the server is draining, manually ejected, or no longer in the endpoint list.
	ServerNotReady
	// EndpointLeaseExpired: the lease of the endpoint list has expired, because discovery has not confirmed
	// the list for too long.
	EndpointLeaseExpired
	// MayHaveRun: a server may have executed an earlier attempt, and the request is not idempotent.
	MayHaveRun
	// DedupWindowOver: the dedup window has ended, so servers no longer recognize a retry by its idempotency
	// key.
	DedupWindowOver
	// OutsideDedupScope: the server does not share idempotency keys with the server that may have executed
	// the request.
	OutsideDedupScope
	// RelayShuttingDown: the relay is shutting down, or is being drained by an operator.
	RelayShuttingDown
	// NameTaken: another open request has the same name.
	NameTaken
	// OwnershipLost: this relay may have lost the ownership lease of the request's stream.
	OwnershipLost

	denialCount
)

// denialNames are the label values of the metric relay_denied. Operators' dashboards depend on them.
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

// String returns the denial's name in logs and metrics, or "unknown" for an undefined value.
func (d Denial) String() string { return nameOf(denialNames[:], uint8(d)) }

// Denials returns all denials except Allowed.
func Denials() []Denial {
	var all []Denial
	for d := Allowed + 1; d < denialCount; d++ {
		all = append(all, d)
	}
	return all
}

// nameOf returns the name of an enumeration value, or "unknown" if the value has no name.
func nameOf(names []string, value uint8) string {
	if int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}
