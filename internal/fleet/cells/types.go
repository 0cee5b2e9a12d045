package cells

import (
	"strconv"

	"capersail/internal/fleet/cellplan"
)

// Config is the configuration of a Coordinator.
type Config struct {
	Name        string // of this relay
	Cell        string // the relay's cell
	Incarnation uint64 // of this process; rises with each start
	Plan        cellplan.Plan
	Seed        uint64 // chooses when in a round the first summary is sent, to spread the cells
}

// Voter is a voter of the cell's view.
type Voter struct {
	Name    string
	Address string // "ip:port" at which other cells reach it, "" if unknown
	Alive   bool   // as seen by this relay; always true for itself
}

// Event is an input to a Coordinator.
type Event interface{ event() }

type (
	// LocalCell is the state of the relay's own cell. It is sent on each change, and about once a second to
	// update the load figures.
	LocalCell struct {
		Voters         []Voter // of the view, in the view's order
		Members        int     // of the view
		ServingMembers int     // members of the view that are serving
		Epoch          uint64  // of the view
		Plan           uint64  // number of the plan in the view's Allocation, 0 for none
		PlanHash       uint64
		// RequiredCells are the cells in the view's Allocation, which all must have joined Plan before it is
		// activated. If nil, the plan file's cells are used.
		RequiredCells []string
		// JoinedPlan is the newest plan such that no relay of the cell acts by an earlier plan: the view's,
		// once the view is old enough for every lease of an older view to have expired. It is at most Plan.
		JoinedPlan      uint64
		Bootstrapped    bool    // the cell was bootstrapped with Plan and has joined no earlier plan
		RequestRate     float64 // requests per second at the cell's relays
		OpenConnections int
		DrainRate       float64 // connections per second that its relays migrate away
		DepartedRelays  []string
	}
	// SummaryReceived is a summary from another cell, received directly or forwarded by a relay of this cell.
	SummaryReceived struct {
		From    string
		Summary Summary
	}
	// DirectoryReceived is a directory from a relay of this cell.
	DirectoryReceived struct {
		From      string
		Directory Directory
	}
	// PlanChanged reports that the plan file has a different plan or different contacts.
	PlanChanged struct{ Plan cellplan.Plan }
	// Tick lets the Coordinator do what is due at the current time; see NextTickAt.
	Tick struct{}
)

func (LocalCell) event()         {}
func (SummaryReceived) event()   {}
func (DirectoryReceived) event() {}
func (PlanChanged) event()       {}
func (Tick) event()              {}

// Action is an output of a Coordinator for its driver to carry out.
type Action interface{ action() }

type (
	// SendSummary sends a summary to an address in another cell, in one packet.
	SendSummary struct {
		Address string
		Cell    string // the receiving cell
		Summary Summary
	}
	// ForwardSummary forwards a summary to the representative of this cell.
	ForwardSummary struct {
		To      string // name of the representative
		Summary Summary
	}
	// PublishDirectory sends the directory to all relays of this cell.
	PublishDirectory struct{ Directory Directory }
	// CellChanged reports a change for the log and the metrics.
	CellChanged struct {
		Kind           ChangeKind
		Cell           string
		Representative string // of the cell, if it has one that is known
		Plan           uint64 // the plan that was activated, or whose contents differ
	}
)

func (SendSummary) action()      {}
func (ForwardSummary) action()   {}
func (PublishDirectory) action() {}
func (CellChanged) action()      {}

// ChangeKind is the kind of a CellChanged.
type ChangeKind uint8

// The kinds of changes.
const (
	RepresentativeChanged ChangeKind = iota + 1 // the cell has another representative
	// CellLost means that no summary of the cell has arrived for UnknownAfterRounds rounds. Its last figures
	// are kept.
	CellLost
	CellKnown // a summary of the cell has arrived, for the first time or after it was lost
	// PlanMismatch means that the cell has a plan with the same number as this cell's but different contents.
	// It is not counted as having joined the plan.
	PlanMismatch
	PlanActivated // every cell is known to have joined the plan
)

// changeTexts are the texts of the kinds in logs and reports.
var changeTexts = [...]string{
	RepresentativeChanged: "speaker changed",
	CellLost:              "cell lost",
	CellKnown:             "cell heard",
	PlanMismatch:          "plan mismatch",
	PlanActivated:         "plan opened",
}

// String returns the text for logs and reports.
func (c ChangeKind) String() string {
	if int(c) < len(changeTexts) {
		return changeTexts[c]
	}
	return "unknown " + strconv.Itoa(int(c))
}
