package fake

import (
	"slices"
	"time"
)

// Tally is what happened to a viewer.
type Tally struct {
	Openings, Answers int // of connections whose first line was sent; answers that came to them
	Ups, Busy, Failed int
	Moves, Breaks     int
	Unreachable       int             // connections that never stood
	LastScan          uint64          // the last scan
	Scans             uint64          // how many came
	Lost, Disorder    uint64          // scans that never came, and that came out of turn
	Notes             []string        // what it was told of failures and gaps
	Gaps              []time.Duration // from the last scan before an end to the first after it
	LastScanAt        time.Time
}

// Tally returns a copy.
func (v *Viewer) Tally() Tally {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.tally
	t.Notes = slices.Clone(t.Notes)
	t.Gaps = slices.Clone(t.Gaps)
	return t
}

// ClearGaps empties the list of gaps.
func (v *Viewer) ClearGaps() { v.updateTally(func(t *Tally) { t.Gaps = nil }) }

func (v *Viewer) updateTally(f func(t *Tally)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.tally)
}

// countScan counts one countScan; first is set for the first of a connection.
func (v *Viewer) countScan(x uint64, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	t := &v.tally
	if t.LastScan != 0 {
		if first {
			t.Gaps = append(t.Gaps, now.Sub(t.LastScanAt))
		}
		switch {
		case x <= t.LastScan:
			t.Disorder++
			return
		case x > t.LastScan+1:
			t.Lost += x - t.LastScan - 1
		}
	}
	t.LastScan = x
	t.LastScanAt = now
	t.Scans++
}
