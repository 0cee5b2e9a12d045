package faultpoint

import "slices"

// HistoryLine is a line of the history: what a relay goes by from AtMillis on, or an event of its process.
type HistoryLine struct {
	AtMillis    float64  `json:"t"` // by the machine's monotonic clock, the same in all processes
	Name        string   `json:"name"`
	Incarnation uint64   `json:"inc"`
	Epoch       uint64   `json:"epoch"`
	ViewHash    uint64   `json:"hash"` // of the view
	Phase       string   `json:"phase"`
	Settled     bool     `json:"settled"`
	NearShare   float64  `json:"share"` // of budgets in the zones that are near
	FarShare    float64  `json:"far"`   // of budgets elsewhere
	Zones       []string `json:"zones"` // that are near; nil for all
	UntilMillis float64  `json:"until"` // when the shares expire, as AtMillis; 0 for never
	Relays      int      `json:"relays"`
	Members     []string `json:"members"` // of the view

	// Of a relay in a cell: its cell and that cell's gossip representative, the plan that the view has
	// joined, whether the plan is activated, and how many other cells are known.
	Cell           string `json:"cell,omitempty"`
	Representative string `json:"speaker,omitempty"`
	Plan           uint64 `json:"plan,omitempty"`
	PlanActivated  bool   `json:"open,omitempty"`
	KnownCells     int    `json:"cells_heard,omitempty"`

	// Event is what the test cluster did to the process: kill, start, stop or cont. AtMillis and Name are set
	// beside it, and nothing else.
	Event string `json:"event,omitempty"`
}

// BudgetShareIn returns the share that the relay may take, at an instant as AtMillis, of the budget of a server in a
// zone.
func (n HistoryLine) BudgetShareIn(zone string, at float64) float64 {
	switch {
	case n.UntilMillis > 0 && at >= n.UntilMillis:
		return 0
	case n.Plan == 0 || slices.Contains(n.Zones, zone):
		return n.NearShare
	}
	return n.FarShare
}
