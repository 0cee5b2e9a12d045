package membership

import "time"

// Timing sets how often a relay repeats its renewals and statuses. The zero Timing is that of a flat fleet.
type Timing struct {
	// LeaseDuration applies when a cell is bootstrapped: the chain keeps it in its views, and all relays of
	// the chain act by that. Renewals are sent at intervals of a quarter of it.
	LeaseDuration time.Duration
	// StatusInterval is the minimum time between two statuses that differ only in load figures.
	StatusInterval time.Duration
}

// withFlatDefaults returns the Timing with unset values replaced by those of a flat fleet.
func (p Timing) withFlatDefaults() Timing {
	if p.LeaseDuration <= 0 {
		p.LeaseDuration = LeaseDuration
	}
	if p.StatusInterval <= 0 {
		p.StatusInterval = flatStatusInterval
	}
	return p
}

// CellTiming is the Timing inside a cell.
var CellTiming = Timing{LeaseDuration: 8 * time.Second, StatusInterval: 10 * time.Second}

// flatStatusInterval is the StatusInterval of a flat fleet.
const flatStatusInterval = time.Second
