package recorder

import (
	"fmt"
	"time"

	"capersail/decide"
)

// Kind is the kind of a record.
type Kind uint8

// The kinds of record.
const (
	EndpointChanged         Kind = iota + 1 // the endpoint list entry of a server has changed
	EndpointListUnreachable                 // discovery does not answer
	ProbeEnded                              // a probe has ended
	AttemptStarted                          // an attempt has started
	ConnectionUp                            // the connection of an attempt is established
	AttemptEnded                            // an attempt, or its established connection, has ended
	ClientMigrated                          // a client is migrated to another relay or server
	RequestRejected                         // a request is rejected
	RequestFailed                           // a request fails
	MessageDelayed                          // a message took long to forward
	PeerReading                             // another relay's load report is used: Elapsed is its age
	RecordsDropped                          // records did not fit the buffer and were dropped
)

var kindNames = [...]string{
	0:                       "",
	EndpointChanged:         "list",
	EndpointListUnreachable: "no list",
	ProbeEnded:              "probe",
	AttemptStarted:          "place",
	ConnectionUp:            "up",
	AttemptEnded:            "end",
	ClientMigrated:          "move",
	RequestRejected:         "refuse",
	RequestFailed:           "fail",
	MessageDelayed:          "delay",
	PeerReading:             "told",
	RecordsDropped:          "dropped",
}

// String returns the display name of the kind.
func (k Kind) String() string { return nameOf(kindNames[:], uint8(k), "kind") }

// Initiator is the party that ended a connection, caused a migration, or rejected a request.
type Initiator uint8

// The initiators.
const (
	NoInitiator        Initiator = iota
	Server                       // the server
	Client                       // the client
	Module                       // the decision module
	Shutdown                     // the shutdown of this relay
	ServerUnresponsive           // this relay, since the server sends nothing back
	OwnershipLost                // this relay, since it may have lost the ownership of the stream
	DescriptorLimit              // the connection limiter of this relay
	BackstopDeadline             // this relay's own deadline, later than that of the decision module
	Operator                     // an operator's command: a drain, or a manual ejection
)

var initiatorNames = [...]string{
	NoInitiator:        "",
	Server:             "server",
	Client:             "client",
	Module:             "module",
	Shutdown:           "leaving",
	ServerUnresponsive: "silence",
	OwnershipLost:      "claim",
	DescriptorLimit:    "door",
	BackstopDeadline:   "late",
	Operator:           "operator",
}

// String returns the display name of the initiator.
func (i Initiator) String() string { return nameOf(initiatorNames[:], uint8(i), "initiator") }

// nameOf returns the name of a value in the table of its type, or a text with its number if it has no name.
func nameOf(names []string, value uint8, what string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown %s %d", what, value)
}

// Candidate is a server that a placement could have chosen but did not.
type Candidate struct {
	Server      int32   // the server's number
	Load        float32 // estimated load
	AgeMs       float32 // age of the reading behind the estimate
	InSlowStart bool
}

// MaxCandidates is the number of candidates of a placement that a Record keeps.
const MaxCandidates = 4

// Record describes one event at the relay. Fields that its kind does not use are zero; unknown loads are
// negative.
type Record struct {
	At        time.Duration // on the relay's monotonic clock
	Elapsed   time.Duration // duration of a set-up, probe or message, or age of a reading
	StartedAt time.Duration // EndpointChanged: the server's start as the endpoint list has it, 0 for long ago

	Request       uint64
	Server        int32 // the server's number, -1 for none
	Kind          Kind
	Status        decide.Status
	EndpointState decide.EndpointState
	Reason        decide.RejectReason
	Initiator     Initiator

	Load            float32
	QueueLength     float32
	ErrorsPerSecond float32
	Count           uint32 // RecordsDropped: number of dropped records

	Attempt        uint8 // number of the attempt, from 0
	WasConnected   bool  // AttemptEnded: the connection was established
	CandidateCount uint8 // number of Candidates that are set
	Candidates     [MaxCandidates]Candidate
}
