package probing

import (
	"math"
	"time"
)

const (
	// ProbeInterval is the least time between two probes of one server by one relay. ProbersPerServer probes
	// in it are the most by turns, whatever becomes of the gossip between relays.
	ProbeInterval = 1500 * time.Millisecond
	// TurnInterval is how old a server's newest reading is when the next prober's turn comes.
	TurnInterval = ProbeInterval / ProbersPerServer
	// MaxReadingAge is how old a reading may be: a report is renewed within 1.4 s and read within 0.5 s of
	// its turn, and gossip takes up to five rounds of GossipInterval.
	MaxReadingAge = 2 * time.Second
	// corroborationSpan is how far apart in time readings may judge each other.
	corroborationSpan = MaxReadingAge + TurnInterval
	// GossipInterval is the time between two rounds of gossip: of 300 relays each hears what three pass on
	// within five rounds.
	GossipInterval = 150 * time.Millisecond
	// GossipFanout is how many peers a round goes to.
	GossipFanout = 3
	// MaxReadingsPerRound is how many readings a round carries: so that they fit one packet.
	MaxReadingsPerRound = 36
	// maxGossipRounds is how many rounds carry one reading: enough for it to come round, few enough that the
	// newest go first.
	maxGossipRounds = 3
	// AbsoluteAgreementTolerance and AgreeRelative say how far two readings of one server may lie apart and still agree:
	// reports are noisy, and a server takes several connections between two probes.
	AbsoluteAgreementTolerance = 0.2
	// RelativeAgreementTolerance is the part of the higher one.
	RelativeAgreementTolerance = 0.2
	// maxContradictions is how many readings that two others contradict put a relay in quarantine, for
	// quarantineFor. Two that are corroborated take one strike back, as one that always tells the same is
	// right now and then.
	maxContradictions  = 4.0
	quarantineDuration = 30 * time.Second
	// MaxClockDrift is by how much the clocks of two relays may part in a time, one 5% fast and one 5% slow.
	MaxClockDrift = 1.05/0.95 - 1
)

// LoadReport is what a server's report says. A field that did not come is negative.
type LoadReport struct {
	Load            float64 // 1 is as much as the server can do
	InFlight        float64 // requests
	ErrorsPerSecond float64 // a second
	CPUUtilization  float64 // part of its processors' time
}

// Reading is what one relay read at one server.
type Reading struct {
	ServerKey   uint64        // the server
	Started     int64         // of the server's process, as the origin's list has it
	Origin      string        // the relay that read it
	Incarnation uint64        // of that relay
	ReadAt      time.Duration // by its clock
	// Age is how old the reading is, as whoever passes it on estimates it.
	Age time.Duration
	LoadReport
}

// keptReading is a reading as it is kept: readAt is when it was made, by this relay's clock.
type keptReading struct {
	Reading
	readAt     time.Duration
	roundsSent int  // that have carried it
	checked    bool // it has been corroborated or contradicted
}

// placementLoad is what placements go by.
func placementLoad(r Reading) float64 { return max(r.LoadReport.Load, r.CPUUtilization) }

// agree tells whether two readings of one server corroborate each other.
func agree(a, b Reading) bool {
	x, y := placementLoad(a), placementLoad(b)
	return math.Abs(x-y) <= AbsoluteAgreementTolerance+RelativeAgreementTolerance*max(x, y, 0)
}

// plausible tells whether a server could have reported this.
func plausible(r Reading) bool {
	for _, x := range []float64{r.LoadReport.Load, r.InFlight, r.ErrorsPerSecond, r.CPUUtilization} {
		if math.IsNaN(x) || x < -1 || x > 1e6 {
			return false
		}
	}
	return r.Age >= 0 && r.LoadReport.Load < 1000
}
