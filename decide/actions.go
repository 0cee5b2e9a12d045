package decide

import "time"

// RejectReason says what stood in the way of a request that gets no server. It is told to people; nothing is decided by it.
type RejectReason uint8

// The reasons.
const (
	NoReason             RejectReason = iota
	NoServer                          // none is listed, well and allowed
	NoCapacity                        // the best one found has no room, or others will fill it
	AttemptsExhausted                 // its attempt failed, and its tries are used up
	RetryBudgetExhausted              // its attempt failed, and its tenant has no retry token
	DeadlineNear                      // its attempt failed too near its deadline
	MayHaveRun                        // its attempt may have run, and the class may not run twice
)

func (w RejectReason) String() string {
	return [...]string{"", "no server", "no room", "no retry", "no retry tokens", "no time", "may have run"}[min(w, MayHaveRun)]
}

// Action is something a Balancer wants done. The types that implement it are all in this file.
type Action interface{ action() }

type (
	// Forward starts the request's next attempt.
	Forward struct {
		ID      RequestID
		Server  ServerID
		Timeout time.Duration
	}
	// Reject is a final answer: no, and a new try does no harm.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration
		Reason     RejectReason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     RequestID
		Reason RejectReason
	}
	// Migrate ends an open connection politely; its client comes again.
	Migrate struct{ ID RequestID }
	// Probe asks a backend for its load.
	Probe struct{ Server ServerID }
	// Timer asks for an Alarm.
	Timer struct {
		After time.Duration
		Token uint64
	}
	// Subscribe asks discovery for changes from now on.
	Subscribe struct{}
	// FetchSnapshot asks discovery for the whole list once.
	FetchSnapshot struct{}
	// CancelAttempt stops the wait for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// CloseIdleConnections closes this relay's idle connections to a backend.
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
