package timeline

import (
	"math"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// Interval is what happened in a stretch of time.
type Interval struct {
	From            float64      `cbor:"1,keyasint" json:"from"`
	Width           float64      `cbor:"2,keyasint" json:"width"` // ms; coarser for old ones
	Placements      uint32       `cbor:"3,keyasint,omitempty" json:"places"`
	Retries         uint32       `cbor:"4,keyasint,omitempty" json:"retries"`
	Connections     uint32       `cbor:"5,keyasint,omitempty" json:"ups"`
	Migrations      uint32       `cbor:"6,keyasint,omitempty" json:"moves"`
	Rejections      uint32       `cbor:"7,keyasint,omitempty" json:"refusals"` // after an attempt there, or of the fleet
	Ends            [8]uint32    `cbor:"8,keyasint" json:"ends"`               // by decide.Status, ends by clients and by us left out
	Probes          uint32       `cbor:"9,keyasint,omitempty" json:"probes"`
	ProbesLost      uint32       `cbor:"10,keyasint,omitempty" json:"probes_lost"`
	OpenConnections int32        `cbor:"11,keyasint,omitempty" json:"held"` // connections at its end
	Load            [3]float32   `cbor:"12,keyasint" json:"load"`           // least, mean, most; negative for none
	Readings        uint32       `cbor:"13,keyasint,omitempty" json:"readings"`
	Setup           [3]float32   `cbor:"14,keyasint" json:"setup_ms"` // median, 99 %, most
	SlowestMessage  float32      `cbor:"15,keyasint,omitempty" json:"message_ms"`
	Dropped         uint32       `cbor:"16,keyasint,omitempty" json:"dropped"` // records that were not folded, on the fleet's line
	Merged          bool         `cbor:"17,keyasint,omitempty" json:"merged"`  // quantiles are the worst of what was merged
	PeerReadings    uint32       `cbor:"18,keyasint,omitempty" json:"told"`    // readings of other relays that were gone by
	RejectReasons   RejectCounts `cbor:"19,keyasint" json:"refusals_by_reason"`
}

// RejectCounts counts refusals and failures by what stood in the way.
type RejectCounts struct {
	Module [decide.MayHaveRun + 1]uint32 `cbor:"1,keyasint" json:"module"` // by decide.Why; none by NoReason
	Relay  [recorder.Operator + 1]uint32 `cbor:"2,keyasint" json:"relay"`  // what the module did not refuse, by who did
}

// add counts the reason of one record of a refusal or a failure.
func (c *RejectCounts) add(r *recorder.Record) {
	if r.Reason != decide.NoReason {
		c.Module[min(r.Reason, decide.MayHaveRun)]++
	} else {
		c.Relay[min(r.Initiator, recorder.Operator)]++
	}
}

// merge adds the counts of another stretch of time.
func (c *RejectCounts) merge(other *RejectCounts) {
	for why, n := range other.Module {
		c.Module[why] += n
	}
	for by, n := range other.Relay {
		c.Relay[by] += n
	}
}

// newestInterval finds the newest newestInterval of a line at a time, and closes the one before.
func (b *Timelines) newestInterval(l *ServerTimeline, at float64) *Interval {
	from := math.Floor(at/b.IntervalWidths[0]) * b.IntervalWidths[0]
	t := l.Tiers[0]
	if n := len(t); n > 0 && t[n-1].From >= from {
		return &t[n-1]
	}
	b.completeNewest(l)
	l.Tiers[0] = append(l.Tiers[0], Interval{From: from, Width: b.IntervalWidths[0], OpenConnections: l.openConnections, Load: [3]float32{-1, -1, -1}})
	l.newestReported = false
	b.mergeOldest(l)
	t = l.Tiers[0]
	return &t[len(t)-1]
}

// completeNewest completes the newest step.
func (b *Timelines) completeNewest(l *ServerTimeline) {
	t := l.Tiers[0]
	if len(t) == 0 || l.newestReported {
		return
	}
	l.newestReported = true
	s := &t[len(t)-1]
	s.OpenConnections = l.openConnections
	if l.setups.TotalCount() > 0 {
		s.Setup = [3]float32{micros(l.setups.ValueAtQuantile(50)), micros(l.setups.ValueAtQuantile(99)), micros(l.setups.Max())}
		l.setups.Reset()
	}
	if b.Sink.IntervalComplete != nil {
		b.Sink.IntervalComplete(l.Name, *s)
	}
}

// CompleteAll completes all steps, at the end.
func (b *Timelines) CompleteAll() {
	for _, l := range b.servers {
		b.completeNewest(l)
	}
}

// completeAfter is how long after its end a step is complete: records are folded a moment after they were made.
const completeAfter = 300.0

func micros(us int64) float32 { return float32(us) / 1000 }

// mergeOldest merges the oldest steps of a tier that is full into the next tier's.
func (b *Timelines) mergeOldest(l *ServerTimeline) {
	for i := range l.Tiers {
		for len(l.Tiers[i]) > b.IntervalsKept[i] {
			old := l.Tiers[i][0]
			l.Tiers[i] = append(l.Tiers[i][:0], l.Tiers[i][1:]...)
			if i+1 == len(l.Tiers) {
				l.DiscardedBefore = max(l.DiscardedBefore, old.From+old.Width)
				continue
			}
			from := math.Floor(old.From/b.IntervalWidths[i+1]) * b.IntervalWidths[i+1]
			if n := len(l.Tiers[i+1]); n > 0 && l.Tiers[i+1][n-1].From == from {
				l.Tiers[i+1][n-1] = Merge(l.Tiers[i+1][n-1], old)
			} else {
				old.From, old.Width, old.Merged = from, b.IntervalWidths[i+1], true
				l.Tiers[i+1] = append(l.Tiers[i+1], old)
			}
		}
	}
}

// Merge adds a later step to an earlier one. Quantiles become the worst of both, and the result says so.
func Merge(a, b Interval) Interval {
	a.Placements, a.Retries, a.Connections, a.Migrations = a.Placements+b.Placements, a.Retries+b.Retries, a.Connections+b.Connections, a.Migrations+b.Migrations
	a.Rejections, a.Probes, a.ProbesLost, a.Dropped = a.Rejections+b.Rejections, a.Probes+b.Probes, a.ProbesLost+b.ProbesLost, a.Dropped+b.Dropped
	a.PeerReadings += b.PeerReadings
	a.RejectReasons.merge(&b.RejectReasons)
	for i := range a.Ends {
		a.Ends[i] += b.Ends[i]
	}
	a.OpenConnections = b.OpenConnections
	switch {
	case b.Readings == 0:
	case a.Readings == 0:
		a.Load, a.Readings = b.Load, b.Readings
	default:
		n, m := float32(a.Readings), float32(b.Readings)
		a.Load = [3]float32{min(a.Load[0], b.Load[0]), (a.Load[1]*n + b.Load[1]*m) / (n + m), max(a.Load[2], b.Load[2])}
		a.Readings += b.Readings
	}
	for i := range a.Setup {
		a.Setup[i] = max(a.Setup[i], b.Setup[i])
	}
	a.SlowestMessage, a.Merged = max(a.SlowestMessage, b.SlowestMessage), true
	return a
}

// Intervals lists a line's steps in order of time, the coarse ones first.
func (l *ServerTimeline) Intervals() (all []Interval) {
	for i := len(l.Tiers) - 1; i >= 0; i-- {
		all = append(all, l.Tiers[i]...)
	}
	return all
}

func addLoadSample(s *Interval, load float32) {
	if s.Readings == 0 {
		s.Load = [3]float32{load, load, load}
	} else {
		n := float32(s.Readings)
		s.Load = [3]float32{min(s.Load[0], load), (s.Load[1]*n + load) / (n + 1), max(s.Load[2], load)}
	}
	s.Readings++
}
