package fake

import (
	"slices"
	"time"
)

// Tally counts what happened to a viewer's connections, and the scans that came over them.
type Tally struct {
	Unreachable int // connections that could not be established
	Openings    int // connections whose first line was sent
	Answers     int // answers to first lines
	Ups         int // answers UP
	Busy        int // answers BUSY
	Failed      int // answers other than UP and BUSY
	Moves       int // connections ended by MOVE
	Breaks      int // connections that ended without an answer, or later without a line to say so

	Scans      uint64 // scans that came in order
	Lost       uint64 // scans that never came
	Disorder   uint64 // scans that came again, or after a later one
	LastScan   uint64 // the number of the last one in order, 0 before the first
	LastScanAt time.Time

	Notes []string        // answers that were failures, and gaps that were announced
	Gaps  []time.Duration // from the last scan of a connection to the first of the next
}

// Tally returns a copy of the viewer's counts.
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

// updateTally calls f with the counts, under their lock.
func (v *Viewer) updateTally(f func(t *Tally)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.tally)
}

// countScan counts scan x; first is set for the first of a connection.
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
