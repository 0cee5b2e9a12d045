package guard

// Denial says why something may not be done now.
type Denial uint8

// The denials.
const (
	Allowed              Denial = iota
	NotWaiting                  // the request has its answer, or is up, or the attempt has been called off
	AttemptInFlight             // another attempt of the request is out
	AttemptsExhausted           // it has had as many as the settings allow
	AttemptTimedOut             // the time of the attempt is over
	ClientGone                  // the client has closed, or has spoilt its request
	ServerNotReady              // the server drains, is out by hand or is gone
	EndpointLeaseExpired        // the list of servers cannot be confirmed
	MayHaveRun                  // an earlier attempt may have run, and the class must not run twice
	DedupWindowOver             // the time in which servers know a repeat again is over
	OutsideDedupScope           // the server does not know the keys of the one where an earlier attempt may have run
	RelayShuttingDown           // the relay leaves, or is drained by hand
	NameTaken                   // another request has the same name
	OwnershipLost               // the right to serve the stream may be lost
	denialCount
)

var denialNames = [denialCount]string{"allowed", "not waiting", "attempt out", "attempts spent", "time over", "client gone",
	"server not ready", "list lapsed", "may have run", "window over", "other servers", "relay leaving", "name taken", "claim lapsed"}

// String is the denial as logs and figures have it.
func (d Denial) String() string {
	if d >= denialCount {
		return "unknown"
	}
	return denialNames[d]
}

// Denials are all reasons for which something may be denied.
func Denials() (all []Denial) {
	for d := Allowed + 1; d < denialCount; d++ {
		all = append(all, d)
	}
	return all
}
