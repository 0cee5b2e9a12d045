package cells

import (
	"strconv"

	"capersail/internal/fleet/cellplan"
)

// Config is what a Coordinator is configured with.
type Config struct {
	Name        string // of this relay
	Cell        string // of its cell
	Incarnation uint64 // of this process; rises with each start
	Plan        cellplan.Plan
	Seed        uint64 // of the first moment in a round, so that not all cells send at once
}

// Voter is a voter of the cell's view.
type Voter struct {
	Name    string
	Address string // "ip:port" where other cells reach it, "" if it isn't known
	Alive   bool   // as this relay believes; itself always
}

// Event is something that a Coordinator has to take in.
type Event interface{ event() }

type (
	// LocalCell is what this relay knows of its own cell; it comes on each change, and about once a
	// second for the figures.
	LocalCell struct {
		Voters         []Voter // of the view, in its order
		Members        int     // of the view
		ServingMembers int     // of them
		Epoch          uint64  // of the view
		Plan           uint64  // of the view's Allocation, 0 for none
		PlanHash       uint64
		// of the view's Allocation: all that must have joined Plan before it is activated; nil to go by the
		// file's
		RequiredCells []string
		// JoinedPlan is the newest plan that nobody in the cell acts by an earlier one of: the view's, once
		// that view is so old that every lease by an older one has expired. Never over Plan.
		JoinedPlan      uint64
		Bootstrapped    bool    // by Plan, and has come from no earlier one
		RequestRate     float64 // requests a second at its relays
		OpenConnections int     // connections
		DrainRate       float64 // connections a second that they send away
		DepartedRelays  []string
	}
	// SummaryReceived is a summary that came from another cell, or from a relay of this cell that has
	// forwarded it.
	SummaryReceived struct {
		From    string
		Summary Summary
	}
	// DirectoryReceived is a directory that came from a relay of this cell.
	DirectoryReceived struct {
		From      string
		Directory Directory
	}
	// PlanChanged says that the file has another plan, or other contacts.
	PlanChanged struct{ Plan cellplan.Plan }
	// Tick says that time has passed; see Next.
	Tick struct{}
)

func (LocalCell) event()         {}
func (SummaryReceived) event()   {}
func (DirectoryReceived) event() {}
func (PlanChanged) event()       {}
func (Tick) event()              {}

// Action is something a Coordinator wants done.
type Action interface{ action() }

type (
	// SendSummary sends a summary to an address of another cell, as one packet.
	SendSummary struct {
		Address string
		Cell    string // of the receiver
		Summary Summary
	}
	// ForwardSummary forwards a summary to the representative of this cell.
	ForwardSummary struct {
		To      string // the representative's name
		Summary Summary
	}
	// PublishDirectory tells all relays of this cell.
	PublishDirectory struct{ Directory Directory }
	// CellChanged is for the log and metrics.
	CellChanged struct {
		Kind           ChangeKind
		Cell           string
		Representative string // of the cell, where that has changed
		Plan           uint64 // that is activated, or has another table
	}
)

func (SendSummary) action()      {}
func (ForwardSummary) action()   {}
func (PublishDirectory) action() {}
func (CellChanged) action()      {}

// ChangeKind is the kind of a Changed.
type ChangeKind uint8

// The changes.
const (
	RepresentativeChanged ChangeKind = iota + 1 // a cell has another representative
	// CellLost: no summary of a cell has come for UnknownAfterRounds rounds; its last figures stand.
	CellLost
	CellKnown // a summary of a cell has come for the first time, or again
	// PlanMismatch: a cell has another table under the number of this cell's plan, and does not count.
	PlanMismatch
	PlanActivated // every cell is known to have joined the plan
)

// changeTexts are the changes as log lines have them.
var changeTexts = [...]string{
	RepresentativeChanged: "speaker changed",
	CellLost:              "cell lost",
	CellKnown:             "cell heard",
	PlanMismatch:          "plan mismatch",
	PlanActivated:         "plan opened",
}

// String is the text of logs and reports.
func (c ChangeKind) String() string {
	if int(c) < len(changeTexts) {
		return changeTexts[c]
	}
	return "unknown " + strconv.Itoa(int(c))
}
