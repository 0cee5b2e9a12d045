package membership

import "time"

// Timing is how often a relay says what it says again. The zero Timing is the flat fleet's.
type Timing struct {
	// LeaseDuration is for the bootstrap of a cell: the chain keeps it in its views, and all its relays
	// act by that. Renewals come a quarter of it apart.
	LeaseDuration time.Duration
	// StatusInterval is the least time between two statuses that differ in figures only.
	StatusInterval time.Duration
}

// withFlatDefaults fills in what is not set.
func (p Timing) withFlatDefaults() Timing {
	if p.LeaseDuration <= 0 {
		p.LeaseDuration = LeaseDuration
	}
	if p.StatusInterval <= 0 {
		p.StatusInterval = flatStatusInterval
	}
	return p
}

// CellTiming is the timing inside a cell.
var CellTiming = Timing{LeaseDuration: 8 * time.Second, StatusInterval: 10 * time.Second}

// flatStatusInterval is the StatusInterval of the flat fleet.
const flatStatusInterval = time.Second
