package relay

// State is the state of a request.
type State uint8

// The states of a request. A request alternates between Queued and Attempting, once for each attempt. From
// Established it only goes to Ended, which is final.
const (
	// Queued: no attempt is in flight, and the decision module is placing the request.
	Queued State = iota
	// Attempting: one attempt is in flight.
	Attempting
	// Established: a server has accepted the connection.
	Established
	// Ended: the request has been given its final answer, its client has left, or its established connection
	// has ended.
	Ended
	// AwaitingOwnership is the first state of a request that continues a stream whose ownership lease this
	// relay has not acquired yet. The decision module does not know the request.
	AwaitingOwnership
)

var stateNames = []string{
	Queued:            "queued",
	Attempting:        "attempting",
	Established:       "established",
	Ended:             "ended",
	AwaitingOwnership: "awaiting ownership",
}

// String returns the state's name, or "unknown" for an undefined value.
func (s State) String() string { return nameOf(stateNames, uint8(s)) }

// AnswerKind is the kind of answer that a client gets if its request is not established.
type AnswerKind uint8

// The kinds of answers.
const (
	// NoAnswer: the request has no answer yet, or its client left before the answer.
	NoAnswer AnswerKind = iota
	// Rejected promises the client that a retry is harmless.
	Rejected
	// Failed makes no such promise.
	Failed
)

var answerKindNames = []string{NoAnswer: "no answer", Rejected: "rejected", Failed: "failed"}

// String returns the name of the kind, or "unknown" for an undefined value.
func (k AnswerKind) String() string { return nameOf(answerKindNames, uint8(k)) }

// CloseKind is the way in which one side of a request closed, so that the other side can be closed in the
// same way.
type CloseKind uint8

// The ways to close a connection.
const (
	// GracefulClose closes a connection after all written data has been sent.
	GracefulClose CloseKind = iota
	// AbortiveClose resets a connection.
	AbortiveClose
)

var closeKindNames = []string{GracefulClose: "graceful", AbortiveClose: "abortive"}

// String returns the name of the kind, or "unknown" for an undefined value.
func (k CloseKind) String() string { return nameOf(closeKindNames, uint8(k)) }

// nameOf returns the name of an enumeration value, or "unknown" if the value has no name.
func nameOf(names []string, value uint8) string {
	if int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}
