package probing

import (
	"math"
	"time"
)

const (
	// ProbeInterval is the minimum time between two scheduled probes of a server by the same relay. It limits
	// the probes of a server to ProbersPerServer per interval, even if gossip between relays fails.
	ProbeInterval = 1500 * time.Millisecond
	// TurnInterval is the age of a server's newest reading at which it is the next prober's turn.
	TurnInterval = ProbeInterval / ProbersPerServer
	// MaxReadingAge is the maximum age of a usable reading. A server renews its report within 1.4 s, a relay
	// reads it within 0.5 s of its turn, and gossip takes up to five rounds of GossipInterval.
	MaxReadingAge = 2 * time.Second
	// corroborationSpan is the maximum time between two readings that may confirm or contradict each other.
	corroborationSpan = MaxReadingAge + TurnInterval
	// GossipInterval is the time between two gossip rounds. In a fleet of 300 relays, what three relays pass
	// on reaches every relay within five rounds.
	GossipInterval = 150 * time.Millisecond
	// GossipFanout is the number of peers that a gossip round is sent to.
	GossipFanout = 3
	// MaxReadingsPerRound is the maximum number of readings in a gossip round, chosen to fit one packet.
	MaxReadingsPerRound = 36
	// maxGossipRounds is the number of rounds in which a relay passes on the same reading: enough to reach
	// all relays, and few enough that the newest readings are sent first.
	maxGossipRounds = 3
	// AbsoluteAgreementTolerance and RelativeAgreementTolerance bound the difference between two readings of
	// one server that agree. Reports are noisy, and a server accepts several connections between two probes.
	AbsoluteAgreementTolerance = 0.2
	// RelativeAgreementTolerance is a fraction of the higher reading.
	RelativeAgreementTolerance = 0.2
	// maxContradictions is the number of contradicted readings that quarantines a relay for
	// quarantineDuration. Two corroborated readings cancel one contradiction, rather than all, because a
	// relay that always reports the same load is right occasionally.
	maxContradictions  = 4.0
	quarantineDuration = 30 * time.Second
	// MaxClockDrift is the maximum relative drift between the clocks of two relays, of which one runs 5% fast
	// and the other 5% slow.
	MaxClockDrift = 1.05/0.95 - 1
)

// LoadReport is a server's load report. Fields that the server did not send are negative.
type LoadReport struct {
	Load            float64 // 1 is the server's full capacity
	InFlight        float64 // number of requests
	ErrorsPerSecond float64
	CPUUtilization  float64 // fraction of its processors' time
}

// Reading is a load report of a server, as read by one relay.
type Reading struct {
	ServerKey   uint64
	Started     int64         // start of the server's process according to the origin's server list
	Origin      string        // name of the relay that read the report
	Incarnation uint64        // of the origin
	ReadAt      time.Duration // by the origin's clock
	// Age is the age of the reading as estimated by the relay that passes it on.
	Age time.Duration
	LoadReport
}

// keptReading is a stored reading.
type keptReading struct {
	Reading
	readAt     time.Duration // by this relay's clock
	roundsSent int           // number of gossip rounds that have carried it
	checked    bool          // it was compared with the readings before and after it
}

// placementLoad returns the load that placements are based on.
func placementLoad(r Reading) float64 { return max(r.LoadReport.Load, r.CPUUtilization) }

// agree reports whether two readings of one server corroborate each other.
func agree(a, b Reading) bool {
	x, y := placementLoad(a), placementLoad(b)
	return math.Abs(x-y) <= AbsoluteAgreementTolerance+RelativeAgreementTolerance*max(x, y, 0)
}

// isPlausible reports whether the values are ones that a server could have reported.
func isPlausible(r Reading) bool {
	for _, x := range []float64{r.LoadReport.Load, r.InFlight, r.ErrorsPerSecond, r.CPUUtilization} {
		if math.IsNaN(x) || x < -1 || x > 1e6 {
			return false
		}
	}
	return r.Age >= 0 && r.LoadReport.Load < 1000
}
