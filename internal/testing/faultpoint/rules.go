// Package faultpoint is where tests put faults into a process: between it and the other relays, and into its clock. It is
// compiled in by the build tag faults only; the shipped program has none of it.
//
// The file that CAPERSAIL_FAULTS names holds the Rules, read again as it changes; CAPERSAIL_HISTORY names a file to
// which the process appends what it does, on the machine's one monotonic clock.
package faultpoint

import "slices"

// Rules are the faults of one process.
type Rules struct {
	Seed     uint64   `json:"seed"`
	Cut      []string `json:"cut"`      // addresses that nothing gets to
	CutFrom  []string `json:"cut_from"` // addresses that nothing gets here from
	Loss     float64  `json:"loss"`     // part of the packets that get lost
	Twice    float64  `json:"twice"`    // part that comes twice
	DelayMs  float64  `json:"delay_ms"` // each packet takes up to so long: they overtake each other
	Late     float64  `json:"late"`     // part that is still under way for LateMs
	LateMs   float64  `json:"late_ms"`
	Rate     float64  `json:"rate"`     // of the clock; 0 for 1
	StepMs   float64  `json:"step_ms"`  // by which the clock of the day is off from the start
	NoJoint  bool     `json:"no_joint"` // views without bounds: a protection taken out
	Lies     bool     `json:"lies"`     // readings that it tells of servers are Lie
	Lie      float64  `json:"lie"`
	Gullible bool     `json:"gullible"`  // all readings that are told are believed: a protection taken out
	LeaseMs  float64  `json:"lease_ms"`  // of a cell that is founded; 0 for the program's
	CellRate float64  `json:"cell_rate"` // by how much the clock between cells is faster; the same all the while
	Digest   int      `json:"digest"`    // of an earlier version if negative, of a later one if positive
}

// Noted is a line of the history: what a relay reckons with from T on.
type Noted struct {
	T           float64  `json:"t"` // ms of the machine's monotonic clock
	Name        string   `json:"name"`
	Incarnation uint64   `json:"inc"`
	Epoch       uint64   `json:"epoch"`
	Hash        uint64   `json:"hash"`
	Phase       string   `json:"phase"`
	Settled     bool     `json:"settled"`
	Share       float64  `json:"share"` // in the zones that are near
	Far         float64  `json:"far"`   // elsewhere
	Zones       []string `json:"zones"` // that are near; nil for all
	Until       float64  `json:"until"` // on the same clock, 0 for no end
	Relays      int      `json:"relays"`
	Members     []string `json:"members"`
	// What a relay in a cell knows: its cell, who speaks for it, the view's plan, and how many other cells are heard.
	Cell       string `json:"cell,omitempty"`
	Speaker    string `json:"speaker,omitempty"`
	Plan       uint64 `json:"plan,omitempty"`
	Open       bool   `json:"open,omitempty"`
	CellsHeard int    `json:"cells_heard,omitempty"`
	// Event is what the rig did to the process: kill, start, stop, cont, term; then nothing else is set.
	Event string `json:"event,omitempty"`
}

// Taken is what the relay may take, at a moment, of the budget of a server in a zone.
func (n Noted) Taken(zone string, at float64) float64 {
	switch {
	case n.Until > 0 && at >= n.Until:
		return 0
	case n.Plan == 0 || slices.Contains(n.Zones, zone):
		return n.Share
	}
	return n.Far
}
