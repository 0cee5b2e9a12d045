package recorder

import (
	"fmt"
	"time"

	"capersail/decide"
)

// Kind says what a record is of.
type Kind uint8

// The kinds.
const (
	EndpointChanged         Kind = iota + 1 // the endpoint list says something new of a server
	EndpointListUnreachable                 // discovery does not answer
	ProbeEnded                              // a probe has ended
	AttemptStarted                          // an attempt goes out
	ConnectionUp                            // an attempt's connection stands
	AttemptEnded                            // an attempt, or the connection that came of it, has ended
	ClientMigrated                          // a client is sent to another relay or server
	RequestRejected                         // a request is rejected
	RequestFailed                           // a request fails
	MessageDelayed                          // a message took long
	PeerReading                             // another relay's load report is used: Elapsed is its age
	RecordsDropped                          // records did not fit and were dropped here
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

// String names the kind as it is shown.
func (k Kind) String() string { return nameOf(kindNames[:], uint8(k), "kind") }

// Initiator says who ended a connection, caused a migration, or rejected a request.
type Initiator uint8

// The initiators.
const (
	NoInitiator        Initiator = iota
	Server                       // the server
	Client                       // the client
	Module                       // the decision module
	Shutdown                     // this relay shuts down
	ServerUnresponsive           // its server brings nothing back
	OwnershipLost                // the stream's ownership may be lost
	DescriptorLimit              // the connection limiter
	BackstopDeadline             // the relay's own deadline, behind the module's
	Operator                     // manually: a drain, or a server ejected
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

// String names the initiator as it is shown.
func (i Initiator) String() string { return nameOf(initiatorNames[:], uint8(i), "initiator") }

// nameOf is a value's name in its type's table, and the number of one that is not there.
func nameOf(names []string, value uint8, what string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return fmt.Sprintf("unknown %s %d", what, value)
}

// Candidate is another server that a placement could have gone to.
type Candidate struct {
	Server      int32   // its number
	Load        float32 // as estimated
	AgeMs       float32 // of the reading behind it
	InSlowStart bool
}

// MaxCandidates is how many of a placement's candidates are kept.
const MaxCandidates = 4

// Record is one thing that happened. Fields that its kind has no use for are zero; loads that are not known
// are negative.
type Record struct {
	At        time.Duration // on the relay's monotonic clock
	Elapsed   time.Duration // of a set-up, a probe, a message, a reading's age
	StartedAt time.Duration // EndpointChanged: when the server says it started, 0 for long ago

	Request       uint64
	Server        int32 // its number, -1 for none
	Kind          Kind
	Status        decide.Status
	EndpointState decide.EndpointState
	Reason        decide.RejectReason
	Initiator     Initiator

	Load            float32
	QueueLength     float32
	ErrorsPerSecond float32 // a second
	Count           uint32  // RecordsDropped

	Attempt        uint8 // from 0
	WasConnected   bool  // AttemptEnded: the connection stood
	CandidateCount uint8 // how many of Candidates are set
	Candidates     [MaxCandidates]Candidate
}
