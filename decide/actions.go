package decide

import "time"

// RejectReason is why a request was rejected or failed. It is used in metrics and time lines only; no
// decision depends on it.
type RejectReason uint8

// The reasons of a rejection or a failure.
const (
	NoReason             RejectReason = iota
	NoServer                          // no server is listed, not ejected and eligible
	NoCapacity                        // the best server found has no capacity left for this relay
	AttemptsExhausted                 // the attempt failed, and no further retry is planned
	RetryBudgetExhausted              // the attempt failed, and the tenant has no retry token
	DeadlineNear                      // the attempt failed too close to the request's deadline
	MayHaveRun                        // the attempt may have run, and the request's class must not run twice
	rejectReasonCount
)

// rejectReasonNames are the names of the reasons in metrics and time lines.
var rejectReasonNames = [rejectReasonCount]string{
	NoReason:             "",
	NoServer:             "no server",
	NoCapacity:           "no room",
	AttemptsExhausted:    "no retry",
	RetryBudgetExhausted: "no retry tokens",
	DeadlineNear:         "no time",
	MayHaveRun:           "may have run",
}

// String returns the name of the reason in metrics and time lines.
func (r RejectReason) String() string {
	if r >= rejectReasonCount {
		return "unknown"
	}
	return rejectReasonNames[r]
}

// Action is an output of a Balancer, to be carried out by its caller. All types that implement it are in this
// file.
type Action interface{ action() }

type (
	// Forward starts the request's next attempt.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // for the set-up of the connection
	}
	// Reject is a final answer: the request was not served, and a new attempt is safe.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0 if the client is told no time
		Reason     RejectReason
	}
	// Fail is a final answer after which a new attempt may not be safe: the request may have run.
	Fail struct {
		ID     RequestID
		Reason RejectReason
	}
	// Migrate ends an open connection gracefully, so that its client reconnects.
	Migrate struct{ ID RequestID }
	// Probe asks a server for its load.
	Probe struct{ Server ServerID }
	// Timer requests a TimerFired with the token.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe polls discovery and subscribes to later changes.
	Subscribe struct{}
	// FetchSnapshot requests the complete list from discovery once.
	FetchSnapshot struct{}
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// CloseIdleConnections closes this relay's idle connections to a server.
	CloseIdleConnections struct{ Server ServerID }
	// SendToPeer sends bytes to another relay, or to all of them if Peer is negative.
	SendToPeer struct {
		Peer int
		Data []byte
	}
	// Log writes a line to the log.
	Log struct{ Text string }
)

func (Forward) action()              {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Migrate) action()              {}
func (Probe) action()                {}
func (Timer) action()                {}
func (Subscribe) action()            {}
func (FetchSnapshot) action()        {}
func (CancelAttempt) action()        {}
func (CloseIdleConnections) action() {}
func (SendToPeer) action()           {}
func (Log) action()                  {}
