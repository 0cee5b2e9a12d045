package membership

import "time"

// Timing is how often a relay says what it says again. The zero Timing is the flat fleet's.
type Timing struct {
	// LeaseFor is for the founding of a cell: the chain keeps it in its views, and all its relays act by that. Renewals come
	// LeaseFor/4 apart.
	LeaseDuration  time.Duration
	StatusInterval time.Duration // at least so long between two statuses without news
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

// CellTiming is the pace inside a cell.
var CellTiming = Timing{LeaseDuration: 8 * time.Second, StatusInterval: 10 * time.Second}

// flatStatusInterval of the flat fleet.
const flatStatusInterval = time.Second
