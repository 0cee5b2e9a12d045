package recorder

import (
	"capersail/decide"
)

// Kind says what a record is of.
type Kind uint8

// The kinds.
const (
	EndpointChanged         Kind = iota + 1 // the list says something new of a server
	EndpointListUnreachable                 // the list is out of reach
	ProbeEnded                              // a probe has ended
	AttemptStarted                          // an attempt goes out
	ConnectionUp                            // an attempt's connection stands
	AttemptEnded                            // an attempt, or the connection that came of it, has ended
	ClientMigrated                          // a client is sent away
	RequestRejected                         // a request is refused
	RequestFailed                           // a request fails
	MessageDelayed                          // a message took long
	PeerReading                             // a reading of another relay is gone by: Took is its age
	RecordsDropped                          // records were dropped here
)

func (k Kind) String() string {
	return [...]string{"", "list", "no list", "probe", "place", "up", "end", "move", "refuse", "fail", "delay", "told", "dropped"}[min(k, RecordsDropped)]
}

// Initiator says who ended a connection or caused a move.
type Initiator uint8

// Who.
const (
	Nobody          Initiator = iota
	Server                    // the server
	Client                    // the client
	Module                    // the decision module
	Shutdown                  // this relay leaves
	ServerSilent              // its server brings nothing back
	OwnershipLost             // its claim may be lost
	DescriptorLimit           // the bound on descriptors
	Backstop                  // the backstop behind the module
	Operator                  // by hand: a drain, or a server taken out
)

func (b Initiator) String() string {
	return [...]string{"", "server", "client", "module", "leaving", "silence", "claim", "door", "late", "operator"}[min(b, Operator)]
}

// Candidate is one other server that a placement could have gone to.
type Candidate struct {
	Server    int32
	Load      float32
	AgeMs     float32
	WarmingUp bool
}

// MaxCandidates is how many of a placement's pool are kept.
const MaxCandidates = 4

// Record is one thing that happened. Fields that its kind has no use for are zero; loads that were not told are
// negative.
type Record struct {
	At           float64 // milliseconds of the relay's clock
	Request      uint64
	Elapsed      float64 // ms: of a set-up, a probe, a message
	StartedAt    float64 // with List: when the server says it started, on the relay's clock, 0 for long ago
	Server       int32   // number in the relay's roster, -1 for none
	Count        uint32  // with Dropped
	Load         float32
	Queue        float32
	Errors       float32
	Kind         Kind
	Status       decide.Status
	Mode         decide.EndpointState
	Reason       decide.RejectReason
	Initiator    Initiator
	Attempt      uint8 // from 0
	WasConnected bool  // with End: the connection stood
	PoolSize     uint8 // how many of Pool are set
	Pool         [MaxCandidates]Candidate
}
