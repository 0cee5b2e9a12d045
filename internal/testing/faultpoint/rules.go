package faultpoint

// Rules are the faults injected into one process. Fractions are between 0 and 1, times are in ms.
type Rules struct {
	Seed uint64 `json:"seed"` // seeds the random decisions; only the first Rules of a process count

	// Faults of packets and connections.
	Cut               []string `json:"cut"`      // addresses to which nothing is sent
	CutFrom           []string `json:"cut_from"` // addresses from which nothing is received
	LossFraction      float64  `json:"loss"`     // fraction of packets that are lost
	DuplicateFraction float64  `json:"twice"`    // fraction of packets that are sent twice
	DelayMs           float64  `json:"delay_ms"` // maximum random delay; it reorders packets
	LateFraction      float64  `json:"late"`     // fraction of packets delayed by another LateMs
	LateMs            float64  `json:"late_ms"`

	// Faults of clocks.
	ClockRate       float64 `json:"rate"`     // rate of the monotonic clock; 0 means 1
	WallClockStepMs float64 `json:"step_ms"`  // how far the wall clock is ahead from the start
	LeaseMs         float64 `json:"lease_ms"` // lease of a newly founded cell; 0 means the default

	// CellRate is the rate of the clock that the gossip between cells uses. It is constant for a process;
	// values below 1 mean 1.
	CellRate float64 `json:"cell_rate"`

	// Faults of messages and of their verification.
	NoJointViews    bool    `json:"no_joint"` // views change without a joint view: a disabled safeguard
	FalseReports    bool    `json:"lies"`     // shared load reports of this relay contain FalseLoad
	FalseLoad       float64 `json:"lie"`
	NoCorroboration bool    `json:"gullible"` // shared load reports need no corroboration: a disabled safeguard

	// StatusVersion makes the process send status digests of an earlier version if it is negative, and of a
	// later version if it is positive.
	StatusVersion int `json:"digest"`
}
