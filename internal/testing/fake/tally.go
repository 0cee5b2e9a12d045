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
	Unreached         int             // connections that never stood
	Last              uint64          // the last scan
	Scans             uint64          // how many came
	Lost, Disorder    uint64          // scans that never came, and that came out of turn
	Notes             []string        // what it was told of failures and gaps
	Gaps              []time.Duration // from the last scan before an end to the first after it
	LastAt            time.Time
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

// Forget empties the list of gaps.
func (v *Viewer) Forget() { v.note(func(t *Tally) { t.Gaps = nil }) }

func (v *Viewer) note(f func(t *Tally)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.tally)
}

// scan counts one scan; first is set for the first of a connection.
func (v *Viewer) scan(x uint64, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	t := &v.tally
	if t.Last != 0 {
		if first {
			t.Gaps = append(t.Gaps, now.Sub(t.LastAt))
		}
		switch {
		case x <= t.Last:
			t.Disorder++
			return
		case x > t.Last+1:
			t.Lost += x - t.Last - 1
		}
	}
	t.Last = x
	t.LastAt = now
	t.Scans++
}
