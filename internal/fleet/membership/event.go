package membership

import "capersail/internal/fleet/cellplan"

// Event is an input of a Node.
type Event interface{ event() }

type (
	// PeerHealth is a change of a peer's health, found by failure detection.
	PeerHealth struct {
		Name   string
		Health Health
	}
	// StatusReceived is a status that a peer has published.
	StatusReceived struct {
		Name   string
		Status Status
	}
	// MessageReceived is a message that a peer has sent.
	MessageReceived struct {
		From string
		Message
	}
	// LocalState is the state and the load of this relay; see the fields of the same names in Status.
	LocalState struct {
		Lifecycle              Lifecycle
		Zone                   string
		RequestRate            float64
		OpenConnections        int
		EndpointListGeneration int64
		DrainRate              float64
	}
	// RecordNotSaved says that a Record could not be stored. No action that follows from it has been carried
	// out, and the relay must not vote or promise from now on.
	RecordNotSaved struct{}
	// PlanChanged says that the members file has another plan. The plan has passed its Check and names this
	// relay's cell. A relay of a fleet without cells learns the name of its cell with its first plan; the
	// name never changes after that.
	PlanChanged struct {
		Plan *cellplan.Plan
		Cell string
	}
	// PlanActivated says that every cell is known to have joined the plan with this number and hash. It
	// counts only while the view is by the same plan, so it is to be repeated with each directory.
	PlanActivated struct{ Plan, Hash uint64 }
	// OtherCells is the load of all other cells together, by their last summaries.
	OtherCells struct {
		Relays          int
		RequestRate     float64 // requests per second that arrive there
		OpenConnections int
		DrainRate       float64 // connections per second that relays there close while they drain or leave
		Known           bool    // false until a summary or a directory has arrived
	}
	// Tick says that time has passed; see Node.NextTickAt.
	Tick struct{}
)

func (PeerHealth) event()      {}
func (StatusReceived) event()  {}
func (MessageReceived) event() {}
func (LocalState) event()      {}
func (RecordNotSaved) event()  {}
func (PlanChanged) event()     {}
func (PlanActivated) event()   {}
func (OtherCells) event()      {}
func (Tick) event()            {}

// ChangeKind is the subject of a StateChanged.
type ChangeKind uint8

// The subjects of a StateChanged.
const (
	ChangeView ChangeKind = iota
	ChangePhase
	ChangePeer
	ChangePlan // State says which plan is adopted or activated
)

var changeTexts = [...]string{
	ChangeView: "view", ChangePhase: "phase", ChangePeer: "peer", ChangePlan: "plan",
}

// String returns the text for logs and reports.
func (c ChangeKind) String() string { return textOf(changeTexts[:], uint8(c)) }

// Action is an output of a Node. Actions are to be carried out in their order: if a SaveRecord fails, those
// after it must not be carried out.
type Action interface{ action() }

type (
	// SaveRecord asks for a Record to be stored.
	SaveRecord struct{ Record Record }
	// SendMessage asks for a message to be sent to a relay.
	SendMessage struct {
		To string
		Message
	}
	// PublishStatus asks for this relay's status to be sent to all peers.
	PublishStatus struct{ Status Status }
	// StateChanged reports for the log that the view, the phase, the plan or the state of a peer has changed.
	StateChanged struct {
		Kind  ChangeKind
		Name  string // of the peer
		State string
		Cause string
	}
	// RefreshEndpointList asks for the endpoint list to be polled at once, because a peer has a newer one.
	RefreshEndpointList struct{ Generation int64 }
)

func (SaveRecord) action()          {}
func (SendMessage) action()         {}
func (PublishStatus) action()       {}
func (StateChanged) action()        {}
func (RefreshEndpointList) action() {}
