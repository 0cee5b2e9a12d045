package faultpoint

import "slices"

// HistoryLine is one line of a history file: the membership state of a relay from AtMillis on, or an event of
// its process.
type HistoryLine struct {
	AtMillis    float64  `json:"t"` // the machine's monotonic clock, which all processes share
	Name        string   `json:"name"`
	Incarnation uint64   `json:"inc"`
	Epoch       uint64   `json:"epoch"`
	ViewHash    uint64   `json:"hash"` // hash of the view
	Phase       string   `json:"phase"`
	Settled     bool     `json:"settled"`
	NearShare   float64  `json:"share"` // share of the budgets in near zones
	FarShare    float64  `json:"far"`   // share of the budgets in all other zones
	Zones       []string `json:"zones"` // near zones; nil means all zones
	UntilMillis float64  `json:"until"` // when the shares expire, in the time base of AtMillis; 0 means never
	Relays      int      `json:"relays"`
	Members     []string `json:"members"` // members of the view

	// Set for a relay in a cell: its cell, the cell's gossip representative, the plan that the view has
	// joined, whether that plan is activated, and the number of other known cells.
	Cell           string `json:"cell,omitempty"`
	Representative string `json:"speaker,omitempty"`
	Plan           uint64 `json:"plan,omitempty"`
	PlanActivated  bool   `json:"open,omitempty"`
	KnownCells     int    `json:"cells_heard,omitempty"`

	// Event is what the test cluster did to the process: kill, start, stop or cont. Only AtMillis and Name
	// are set in addition.
	Event string `json:"event,omitempty"`
}

// BudgetShareIn returns the share that the relay may use of the budget of a server in a zone, at an instant
// in the time base of AtMillis.
func (n HistoryLine) BudgetShareIn(zone string, at float64) float64 {
	switch {
	case n.UntilMillis > 0 && at >= n.UntilMillis:
		return 0
	case n.Plan == 0 || slices.Contains(n.Zones, zone):
		return n.NearShare
	}
	return n.FarShare
}
