package decide

import "time"

// RejectReason says why a request got no server. It is for metrics and time lines; nothing is decided by it.
type RejectReason uint8

// The reasons.
const (
	NoReason             RejectReason = iota
	NoServer                          // none is listed, not ejected and allowed
	NoCapacity                        // the best one found has no capacity left, or others will fill it
	AttemptsExhausted                 // its attempt failed, and no retry is planned any more
	RetryBudgetExhausted              // its attempt failed, and its tenant has no retry token
	DeadlineNear                      // its attempt failed too near its deadline
	MayHaveRun                        // its attempt may have run, and the class may not run twice
	rejectReasons
)

// rejectReasonNames are the names that metrics and time lines have.
var rejectReasonNames = [rejectReasons]string{
	NoReason:             "",
	NoServer:             "no server",
	NoCapacity:           "no room",
	AttemptsExhausted:    "no retry",
	RetryBudgetExhausted: "no retry tokens",
	DeadlineNear:         "no time",
	MayHaveRun:           "may have run",
}

// String is the reason as metrics and time lines have it.
func (r RejectReason) String() string {
	if r >= rejectReasons {
		return "unknown"
	}
	return rejectReasonNames[r]
}

// Action is something that a Balancer wants done. The types that implement it are all in this file.
type Action interface{ action() }

type (
	// Forward starts the request's next attempt.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration // for the set-up of its connection
	}
	// Reject is a final answer: no, and a new attempt does no harm.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0 for none
		Reason     RejectReason
	}
	// Fail is a final answer that promises nothing: the request may have run.
	Fail struct {
		ID     RequestID
		Reason RejectReason
	}
	// Migrate ends an open connection gracefully; its client reconnects.
	Migrate struct{ ID RequestID }
	// Probe asks a server for its load.
	Probe struct{ Server ServerID }
	// Timer asks for a TimerFired with the token.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe polls discovery, for changes from now on.
	Subscribe struct{}
	// FetchSnapshot asks discovery for the complete list once.
	FetchSnapshot struct{}
	// CancelAttempt stops the wait for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// CloseIdleConnections closes this relay's idle connections to a server.
	CloseIdleConnections struct{ Server ServerID }
	// SendToPeer sends bytes to a peer, or to all of them if Peer is negative.
	SendToPeer struct {
		Peer int
		Data []byte
	}
	// Log adds a line to the report.
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
