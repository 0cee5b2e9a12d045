package fake

import (
	"slices"
	"time"
)

// ViewerStats counts the connections of a viewer by outcome, and the scans received over them.
type ViewerStats struct {
	DialFailures   int // connections that could not be established
	FirstLinesSent int // connections whose first line was sent
	Answers        int // answers to first lines
	Accepted       int // UP answers
	Rejected       int // BUSY answers
	OtherAnswers   int // answers other than UP and BUSY
	Migrations     int // connections ended by MOVE
	Disconnects    int // connections that ended without an answer, or later without MOVE

	Scans      uint64 // scans received in order
	Lost       uint64 // scans never received
	OutOfOrder uint64 // scans received twice or after a later one
	LastScan   uint64 // number of the last scan received in order, 0 before the first
	LastScanAt time.Time

	Problems      []string        // failure answers, and gaps that the relay announced
	ReconnectGaps []time.Duration // from the last scan of a connection to the first scan of the next
}

// Stats returns a copy of the viewer's counters.
func (v *Viewer) Stats() ViewerStats {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.stats
	t.Problems = slices.Clone(t.Problems)
	t.ReconnectGaps = slices.Clone(t.ReconnectGaps)
	return t
}

// ClearReconnectGaps empties the list of reconnect gaps.
func (v *Viewer) ClearReconnectGaps() { v.updateStats(func(t *ViewerStats) { t.ReconnectGaps = nil }) }

// updateStats calls f with the counters while holding their lock.
func (v *Viewer) updateStats(f func(t *ViewerStats)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.stats)
}

// countScan counts scan x; first marks the first scan of a connection.
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
