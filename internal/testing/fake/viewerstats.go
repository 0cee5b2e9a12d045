package fake

import (
	"slices"
	"time"
)

// ViewerStats counts what happened to a viewer's connections, and the scans that came over them.
type ViewerStats struct {
	DialFailures   int // connections that could not be established
	FirstLinesSent int // connections whose first line was sent
	Answers        int // answers to first lines
	Accepted       int // answers UP
	Rejected       int // answers BUSY
	OtherAnswers   int // answers other than UP and BUSY
	Migrations     int // connections ended by MOVE
	Disconnects    int // connections that ended without an answer, or later without a line to say so

	Scans      uint64 // scans that came in order
	Lost       uint64 // scans that never came
	OutOfOrder uint64 // scans that came again, or after a later one
	LastScan   uint64 // the number of the last one in order, 0 before the first
	LastScanAt time.Time

	Problems      []string        // answers that were failures, and gaps that were announced
	ReconnectGaps []time.Duration // from the last scan of a connection to the first of the next
}

// Stats returns a copy of the viewer's counts.
func (v *Viewer) Stats() ViewerStats {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.stats
	t.Problems = slices.Clone(t.Problems)
	t.ReconnectGaps = slices.Clone(t.ReconnectGaps)
	return t
}

// ClearReconnectGaps empties the list of gaps.
func (v *Viewer) ClearReconnectGaps() { v.updateStats(func(t *ViewerStats) { t.ReconnectGaps = nil }) }

// updateTally calls f with the counts, under their lock.
func (v *Viewer) updateStats(f func(t *ViewerStats)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.stats)
}

// countScan counts scan x; first is set for the first of a connection.
func (v *Viewer) countScan(x uint64, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	t := &v.stats
	if t.LastScan != 0 {
		if first {
			t.ReconnectGaps = append(t.ReconnectGaps, now.Sub(t.LastScanAt))
		}
		switch {
		case x <= t.LastScan:
			t.OutOfOrder++
			return
		case x > t.LastScan+1:
			t.Lost += x - t.LastScan - 1
		}
	}
	t.LastScan = x
	t.LastScanAt = now
	t.Scans++
}
