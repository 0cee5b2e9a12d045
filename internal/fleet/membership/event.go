package membership

import "capersail/internal/fleet/cellplan"

// Event is something that a Node is notified of.
type Event interface{ event() }

type (
	// PeerHealth is what the failure detection has found of a peer.
	PeerHealth struct {
		Name   string
		Health Health
	}
	// StatusReceived is a peer's newest status.
	StatusReceived struct {
		Name   string
		Status Status
	}
	// MessageReceived is a message from a peer.
	MessageReceived struct {
		From string
		Message
	}
	// LocalState is what this relay does now; see the Status's fields of the same names.
	LocalState struct {
		Lifecycle              Lifecycle
		Zone                   string
		RequestRate            float64
		OpenConnections        int
		EndpointListGeneration int64
		DrainRate              float64
	}
	// RecordNotSaved says that a Record could not be kept: nothing that followed from it has been done, and
	// the relay must promise nothing any more.
	RecordNotSaved struct{}
	// PlanChanged says that the file has another plan. It has passed its Check and names this relay's cell,
	// which a relay of a flat fleet learns with its first plan and which never changes after that.
	PlanChanged struct {
		Plan *cellplan.Plan
		Cell string
	}
	// PlanActivated says that every cell is known to have joined a plan, by the table of this hash. It counts
	// only while the view's plan is the same: say it again with each directory.
	PlanActivated struct{ Plan, Hash uint64 }
	// OtherCells is what all other cells together do, by their last summaries.
	OtherCells struct {
		Relays          int
		RequestRate     float64 // requests a second that come to them
		OpenConnections int
		DrainRate       float64 // connections a second that they send away
		Known           bool    // false until a summary or directory has come
	}
	// Tick says that time has passed; see Next.
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

// ChangeKind is what a Changed is about.
type ChangeKind uint8

// The kinds of change.
const (
	ChangeView ChangeKind = iota
	ChangePhase
	ChangePeer
	ChangePlan // State tells which plan is adopted or activated
)

var changeTexts = [...]string{
	ChangeView: "view", ChangePhase: "phase", ChangePeer: "peer", ChangePlan: "plan",
}

// String is the text of logs and reports.
func (c ChangeKind) String() string { return textOf(changeTexts[:], uint8(c)) }

// Action is something a Node wants done, in the order in which it is given: what follows a Save that
// failed must not be done.
type Action interface{ action() }

type (
	// SaveRecord keeps a Record.
	SaveRecord struct{ Record Record }
	// SendMessage sends a message.
	SendMessage struct {
		To string
		Message
	}
	// PublishStatus sends this relay's status to all peers.
	PublishStatus struct{ Status Status }
	// StateChanged is for the log: the view, the phase or a peer's state has changed.
	StateChanged struct {
		Kind  ChangeKind
		Name  string // the peer
		State string
		Cause string
	}
	// RefreshEndpointList wants the endpoint list polled at once: a peer has a newer one.
	RefreshEndpointList struct{ Generation int64 }
)

func (SaveRecord) action()          {}
func (SendMessage) action()         {}
func (PublishStatus) action()       {}
func (StateChanged) action()        {}
func (RefreshEndpointList) action() {}
