package timeline

import (
	"math"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// Interval summarizes what happened to a server, or to the fleet, in a period of time. It is stored as a row:
// its times are in milliseconds, From is Unix time. Rejections are counted at the server of the last attempt
// and at the fleet, dropped records at the fleet only.
type Interval struct {
	From            float64      `cbor:"1,keyasint" json:"from"`
	Width           float64      `cbor:"2,keyasint" json:"width"` // larger for older intervals
	Placements      uint32       `cbor:"3,keyasint,omitempty" json:"places"`
	Retries         uint32       `cbor:"4,keyasint,omitempty" json:"retries"`
	Connections     uint32       `cbor:"5,keyasint,omitempty" json:"ups"`
	Migrations      uint32       `cbor:"6,keyasint,omitempty" json:"moves"`
	Rejections      uint32       `cbor:"7,keyasint,omitempty" json:"refusals"` // including failures
	EndsByStatus    [8]uint32    `cbor:"8,keyasint" json:"ends"`               // by the server; index: status
	Probes          uint32       `cbor:"9,keyasint,omitempty" json:"probes"`
	ProbesLost      uint32       `cbor:"10,keyasint,omitempty" json:"probes_lost"`
	OpenConnections int32        `cbor:"11,keyasint,omitempty" json:"held"` // at the end of the interval
	Load            [3]float32   `cbor:"12,keyasint" json:"load"`           // min, mean, max; -1 for none
	Readings        uint32       `cbor:"13,keyasint,omitempty" json:"readings"`
	Setup           [3]float32   `cbor:"14,keyasint" json:"setup_ms"` // median, 99th percentile, maximum
	SlowestMessage  float32      `cbor:"15,keyasint,omitempty" json:"message_ms"`
	DroppedRecords  uint32       `cbor:"16,keyasint,omitempty" json:"dropped"` // dropped by the recorder
	Merged          bool         `cbor:"17,keyasint,omitempty" json:"merged"`  // Setup has the worst values
	PeerReadings    uint32       `cbor:"18,keyasint,omitempty" json:"told"`    // by other relays
	RejectReasons   RejectCounts `cbor:"19,keyasint" json:"refusals_by_reason"`
}

// RejectCounts counts rejections and failures by reason.
type RejectCounts struct {
	ByReason    [decide.MayHaveRun + 1]uint32 `cbor:"1,keyasint" json:"module"` // of the decision module
	ByInitiator [recorder.Operator + 1]uint32 `cbor:"2,keyasint" json:"relay"`  // if there is no reason
}

// add counts the reason in a record of a rejection or a failure.
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

// addLoad adds a load report to the interval.
func (i *Interval) addLoad(load float32) {
	if i.Readings == 0 {
		i.Load = [3]float32{load, load, load}
	} else {
		n := float32(i.Readings)
		i.Load = [3]float32{min(i.Load[0], load), (i.Load[1]*n + load) / (n + 1), max(i.Load[2], load)}
	}
	i.Readings++
}

// completionDelay is the time from the end of an interval until it is complete, since records are applied
// some time after they are made.
const completionDelay = 300 * time.Millisecond

// intervalAt returns the interval of a server for an instant. It begins a new interval and completes the
// previous one if needed. An instant before the newest interval counts in the newest one.
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

// newestIntervalEnded reports whether the newest interval of a server can get no more records.
func (t *Timelines) newestIntervalEnded(s *ServerTimeline, now time.Duration) bool {
	tier := s.Tiers[0]
	if len(tier) == 0 {
		return false
	}
	end := tier[len(tier)-1].From + millis(t.IntervalWidths[0])
	return t.unixMs(now) >= end+millis(completionDelay)
}

// completeNewestInterval completes a server's newest interval and passes it to the sink once.
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

// CompleteAll completes the newest interval of every server, for the shutdown.
func (t *Timelines) CompleteAll() {
	for _, s := range t.servers {
		t.completeNewestInterval(s)
	}
}

// mergeOldestIntervals merges the oldest intervals of a full tier into the next tier. It discards those of
// the last tier.
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

// mergeInto merges an interval into the newest one of a tier, or appends a new one.
func mergeInto(tier []Interval, old Interval, width float64) []Interval {
	from := roundDownTo(old.From, width)
	if n := len(tier); n > 0 && tier[n-1].From == from {
		tier[n-1] = Merge(tier[n-1], old)
		return tier
	}
	old.From, old.Width, old.Merged = from, width, true
	return append(tier, old)
}

// Merge adds a later interval to an earlier one. Quantiles become the worse of both, and Merged is set.
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

// mergeLoad merges the load reports of another interval into this one.
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

// Intervals returns a server's intervals in order of time, the oldest and coarsest first.
func (s *ServerTimeline) Intervals() (all []Interval) {
	for n := len(s.Tiers) - 1; n >= 0; n-- {
		all = append(all, s.Tiers[n]...)
	}
	return all
}

func roundDownTo(x, width float64) float64 { return math.Floor(x/width) * width }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func microsToMillis(us int64) float32 { return float32(us) / 1000 }
