// Package cells lets the cells of a fleet know of each other. In each cell one relay, the speaker, sends a Summary of its cell to one
// contact of each other cell, at a steady pace, and tells its own cell in a Directory what it has heard. What goes between cells is
// evidence and never authority: no relay takes more of a budget because a speaker says so, but only because every cell is known to
// have entered the numbered plan that gives it more. A speaker that dies, is doubled or comes back with old numbers can delay that
// and nothing else.
//
// The Coordinator decides and does no I/O; times are durations since an arbitrary origin of its driver's clock.
package cells

import "capersail/internal/fleet/cellplan"

// Config is what a Coordinator is told at its start.
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

// Event is something a Coordinator is told.
type Event interface{ event() }

type (
	// LocalCell is what this relay knows of its own cell; told on each change, and about once a second for the figures.
	LocalCell struct {
		Voters   []Voter // of the view, in its order
		Members  int     // of the view
		Serving  int     // of them
		Epoch    uint64  // of the view
		Plan     uint64  // of the view's Allocation, 0 for none
		PlanHash uint64
		Cells    []string // of the view's Allocation: all that must have entered Plan before it is open; nil to go by the file's
		// Entered is the newest plan that nobody in the cell acts by an earlier one of: the view's, once that view is so old that
		// every grant by an older one has run out. Never over Plan.
		JoinedPlan      uint64
		Bootstrapped    bool    // by Plan, and has come from no earlier one
		RequestRate     float64 // requests a second at its relays
		OpenConnections int     // connections
		DrainRate       float64 // connections a second that they send away
		Departed        []string
	}
	// SummaryReceived is a summary that came from another cell, or from a relay of this cell that has forwarded it.
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
	// ForwardSummary sends a summary on to the speaker of this cell.
	ForwardSummary struct {
		To      string // the speaker's name
		Summary Summary
	}
	// PublishDirectory tells all relays of this cell.
	PublishDirectory struct{ Directory Directory }
	// Changed is for people and figures.
	Changed struct {
		Kind           Change
		Cell           string
		Representative string // of the cell, where that has changed
		Plan           uint64 // that is opened or told with another table
	}
)

func (SendSummary) action()      {}
func (ForwardSummary) action()   {}
func (PublishDirectory) action() {}
func (Changed) action()          {}

// Change is the kind of a Changed.
type Change uint8

// The changes.
const (
	RepresentativeChanged Change = iota + 1 // a cell has another speaker
	CellLost                                // nothing has been heard of a cell for UnheardRounds rounds; its last figures stand
	CellKnown                               // a cell is heard for the first time, or again
	PlanMismatch                            // a cell has another table under the number of this cell's plan: its word is not counted
	PlanActivated                           // every cell is known to have entered the plan
)

func (c Change) String() string {
	return [...]string{"", "speaker changed", "cell lost", "cell heard", "plan mismatch", "plan opened"}[min(c, PlanActivated)]
}
