package relay

// State is where a request stands.
type State uint8

// The states of a request. Queued and Attempting alternate, once for each attempt; Established and Ended are
// never left for an earlier one.
const (
	// Queued: no attempt is in flight, and the decision module has the request.
	Queued State = iota
	// Attempting: one attempt is in flight.
	Attempting
	// Established: a server has taken the connection.
	Established
	// Ended: the request has its final answer, or its client has left.
	Ended
	// AwaitingOwnership comes before all others, and only where a stream goes on: its ownership lease is not
	// this relay's yet, and the decision module does not know the request.
	AwaitingOwnership
)

var stateNames = []string{
	Queued:            "queued",
	Attempting:        "attempting",
	Established:       "established",
	Ended:             "ended",
	AwaitingOwnership: "awaiting ownership",
}

// String returns the state's name, "unknown" for a value that is none.
func (s State) String() string { return nameOf(stateNames, uint8(s)) }

// AnswerKind is what a client that is not served gets.
type AnswerKind uint8

// The answers.
const (
	// NoAnswer: none yet, or the client left before it.
	NoAnswer AnswerKind = iota
	// Rejected promises that a retry by the client is harmless.
	Rejected
	// Failed promises nothing.
	Failed
)

var answerKindNames = []string{NoAnswer: "no answer", Rejected: "rejected", Failed: "failed"}

// String returns the answer's name, "unknown" for a value that is none.
func (k AnswerKind) String() string { return nameOf(answerKindNames, uint8(k)) }

// CloseKind is how one side of a request ended, so that the other side can be ended in the same way.
type CloseKind uint8

// The ways to end.
const (
	// GracefulClose ends a connection after what was written.
	GracefulClose CloseKind = iota
	// AbortiveClose resets it.
	AbortiveClose
)

var closeKindNames = []string{GracefulClose: "graceful", AbortiveClose: "abortive"}

// String returns the kind's name, "unknown" for a value that is none.
func (k CloseKind) String() string { return nameOf(closeKindNames, uint8(k)) }

// nameOf returns the name of an enumeration's value, "unknown" if it has none.
func nameOf(names []string, value uint8) string {
	if int(value) >= len(names) {
		return "unknown"
	}
	return names[value]
}
