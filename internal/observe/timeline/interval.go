package timeline

import (
	"math"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// Interval is what happened in a stretch of time. It is a row: its times are in milliseconds, From as Unix
// time. Rejections count at the server that the last attempt met and at the fleet, Dropped records at the
// fleet.
type Interval struct {
	From            float64      `cbor:"1,keyasint" json:"from"`
	Width           float64      `cbor:"2,keyasint" json:"width"` // coarser for old ones
	Placements      uint32       `cbor:"3,keyasint,omitempty" json:"places"`
	Retries         uint32       `cbor:"4,keyasint,omitempty" json:"retries"`
	Connections     uint32       `cbor:"5,keyasint,omitempty" json:"ups"`
	Migrations      uint32       `cbor:"6,keyasint,omitempty" json:"moves"`
	Rejections      uint32       `cbor:"7,keyasint,omitempty" json:"refusals"` // and failures
	EndsByStatus    [8]uint32    `cbor:"8,keyasint" json:"ends"`               // by the server; index: status
	Probes          uint32       `cbor:"9,keyasint,omitempty" json:"probes"`
	ProbesLost      uint32       `cbor:"10,keyasint,omitempty" json:"probes_lost"`
	OpenConnections int32        `cbor:"11,keyasint,omitempty" json:"held"` // at its end
	Load            [3]float32   `cbor:"12,keyasint" json:"load"`           // min, mean, max; -1 for none
	Readings        uint32       `cbor:"13,keyasint,omitempty" json:"readings"`
	Setup           [3]float32   `cbor:"14,keyasint" json:"setup_ms"` // median, 99 %, most
	SlowestMessage  float32      `cbor:"15,keyasint,omitempty" json:"message_ms"`
	DroppedRecords  uint32       `cbor:"16,keyasint,omitempty" json:"dropped"` // records
	Merged          bool         `cbor:"17,keyasint,omitempty" json:"merged"`  // Setup has the worst
	PeerReadings    uint32       `cbor:"18,keyasint,omitempty" json:"told"`    // of other relays
	RejectReasons   RejectCounts `cbor:"19,keyasint" json:"refusals_by_reason"`
}

// RejectCounts counts rejections and failures by their reason.
type RejectCounts struct {
	ByReason    [decide.MayHaveRun + 1]uint32 `cbor:"1,keyasint" json:"module"` // by the module's reason
	ByInitiator [recorder.Operator + 1]uint32 `cbor:"2,keyasint" json:"relay"`  // without one, by who decided
}

// add counts the reason of one record of a rejection or a failure.
func (c *RejectCounts) add(r *recorder.Record) {
	if r.Reason != decide.NoReason {
		c.ByReason[min(r.Reason, decide.MayHaveRun)]++
	} else {
		c.ByInitiator[min(r.Initiator, recorder.Operator)]++
	}
}

// merge adds the counts of another interval.
func (c *RejectCounts) merge(other *RejectCounts) {
	for reason, n := range other.ByReason {
		c.ByReason[reason] += n
	}
	for by, n := range other.ByInitiator {
		c.ByInitiator[by] += n
	}
}

// addLoad counts a load report.
func (i *Interval) addLoad(load float32) {
	if i.Readings == 0 {
		i.Load = [3]float32{load, load, load}
	} else {
		n := float32(i.Readings)
		i.Load = [3]float32{min(i.Load[0], load), (i.Load[1]*n + load) / (n + 1), max(i.Load[2], load)}
	}
	i.Readings++
}

// completionDelay is how long after its end an interval is complete: records are applied a moment after they
// were made.
const completionDelay = 300 * time.Millisecond

// intervalAt finds a server's newest interval for an instant, and completes the one before. An instant from
// before the newest interval counts in it.
func (t *Timelines) intervalAt(s *ServerTimeline, at time.Duration) *Interval {
	width := millis(t.IntervalWidths[0])
	from := roundDownTo(t.unixMs(at), width)
	if tier := s.Tiers[0]; len(tier) > 0 && tier[len(tier)-1].From >= from {
		return &tier[len(tier)-1]
	}
	t.completeNewestInterval(s)
	s.Tiers[0] = append(s.Tiers[0], Interval{
		From:            from,
		Width:           width,
		OpenConnections: s.openConnections,
		Load:            [3]float32{-1, -1, -1},
	})
	s.newestGivenToSink = false
	t.mergeOldestIntervals(s)
	tier := s.Tiers[0]
	return &tier[len(tier)-1]
}

// newestIntervalEnded tells whether no record of a server's newest interval can come any more.
func (t *Timelines) newestIntervalEnded(s *ServerTimeline, now time.Duration) bool {
	tier := s.Tiers[0]
	if len(tier) == 0 {
		return false
	}
	end := tier[len(tier)-1].From + millis(t.IntervalWidths[0])
	return t.unixMs(now) >= end+millis(completionDelay)
}

// completeNewestInterval completes a server's newest interval and gives it to the sink, once.
func (t *Timelines) completeNewestInterval(s *ServerTimeline) {
	tier := s.Tiers[0]
	if len(tier) == 0 || s.newestGivenToSink {
		return
	}
	s.newestGivenToSink = true
	i := &tier[len(tier)-1]
	i.OpenConnections = s.openConnections
	if s.setups.TotalCount() > 0 {
		i.Setup = [3]float32{
			microsToMillis(s.setups.ValueAtQuantile(50)),
			microsToMillis(s.setups.ValueAtQuantile(99)),
			microsToMillis(s.setups.Max()),
		}
		s.setups.Reset()
	}
	if t.Sink.IntervalComplete != nil {
		t.Sink.IntervalComplete(s.Name, *i)
	}
}

// CompleteAll completes all intervals, at the end.
func (t *Timelines) CompleteAll() {
	for _, s := range t.servers {
		t.completeNewestInterval(s)
	}
}

// mergeOldestIntervals merges the oldest intervals of a tier that is full into the next tier's; the last tier's are
// discarded.
func (t *Timelines) mergeOldestIntervals(s *ServerTimeline) {
	for n := range s.Tiers {
		for len(s.Tiers[n]) > t.IntervalsKept[n] {
			old := s.Tiers[n][0]
			s.Tiers[n] = append(s.Tiers[n][:0], s.Tiers[n][1:]...)
			if n+1 == len(s.Tiers) {
				s.DiscardedBefore = max(s.DiscardedBefore, old.From+old.Width)
				continue
			}
			s.Tiers[n+1] = mergeInto(s.Tiers[n+1], old, millis(t.IntervalWidths[n+1]))
		}
	}
}

// mergeInto adds an interval to the last of a tier's, or begins another.
func mergeInto(tier []Interval, old Interval, width float64) []Interval {
	from := roundDownTo(old.From, width)
	if n := len(tier); n > 0 && tier[n-1].From == from {
		tier[n-1] = Merge(tier[n-1], old)
		return tier
	}
	old.From, old.Width, old.Merged = from, width, true
	return append(tier, old)
}

// Merge adds a later interval to an earlier one. Quantiles become the worst of both, and the result says so.
func Merge(a, b Interval) Interval {
	a.Placements += b.Placements
	a.Retries += b.Retries
	a.Connections += b.Connections
	a.Migrations += b.Migrations
	a.Rejections += b.Rejections
	a.Probes += b.Probes
	a.ProbesLost += b.ProbesLost
	a.DroppedRecords += b.DroppedRecords
	a.PeerReadings += b.PeerReadings
	a.RejectReasons.merge(&b.RejectReasons)
	for i := range a.EndsByStatus {
		a.EndsByStatus[i] += b.EndsByStatus[i]
	}
	a.OpenConnections = b.OpenConnections
	a.mergeLoad(&b)
	for i := range a.Setup {
		a.Setup[i] = max(a.Setup[i], b.Setup[i])
	}
	a.SlowestMessage = max(a.SlowestMessage, b.SlowestMessage)
	a.Merged = true
	return a
}

// mergeLoad adds the load reports of another interval.
func (i *Interval) mergeLoad(o *Interval) {
	switch {
	case o.Readings == 0:
	case i.Readings == 0:
		i.Load, i.Readings = o.Load, o.Readings
	default:
		n, m := float32(i.Readings), float32(o.Readings)
		i.Load = [3]float32{
			min(i.Load[0], o.Load[0]),
			(i.Load[1]*n + o.Load[1]*m) / (n + m),
			max(i.Load[2], o.Load[2]),
		}
		i.Readings += o.Readings
	}
}

// Intervals lists a server's intervals in order of time, the coarse ones first.
func (s *ServerTimeline) Intervals() (all []Interval) {
	for n := len(s.Tiers) - 1; n >= 0; n-- {
		all = append(all, s.Tiers[n]...)
	}
	return all
}

func roundDownTo(x, width float64) float64 { return math.Floor(x/width) * width }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func microsToMillis(us int64) float32 { return float32(us) / 1000 }
