package faultpoint

// Rules are the faults of one process. Parts are of 1, times in ms.
type Rules struct {
	Seed uint64 `json:"seed"` // of what is drawn, by the first Rules of a process

	// Of packets and connections.
	Cut               []string `json:"cut"`      // addresses that nothing is sent to
	CutFrom           []string `json:"cut_from"` // addresses that nothing is received from
	LossFraction      float64  `json:"loss"`     // part of the packets that are lost
	DuplicateFraction float64  `json:"twice"`    // part of the packets that are sent once more
	DelayMs           float64  `json:"delay_ms"` // each packet takes up to so long, so that they overtake each other
	LateFraction      float64  `json:"late"`     // part of the packets that take LateMs more
	LateMs            float64  `json:"late_ms"`

	// Of clocks.
	ClockRate       float64 `json:"rate"`     // of the monotonic clock; 0 for 1
	WallClockStepMs float64 `json:"step_ms"`  // by which the clock of the day is ahead from the start
	LeaseMs         float64 `json:"lease_ms"` // of the lease of a cell that is founded; 0 for the program's

	// CellRate is of the clock between cells, constant over a process; 1 if it is less.
	CellRate float64 `json:"cell_rate"`

	// Of what is said and believed.
	NoJointViews    bool    `json:"no_joint"` // views change without a joint one: a protection taken out
	FalseReports    bool    `json:"lies"`     // load reports that the relay shares have the load FalseLoad
	FalseLoad       float64 `json:"lie"`
	NoCorroboration bool    `json:"gullible"` // shared load reports are believed: a protection taken out

	// DigestVersion has digests be of an earlier version if it is negative, of a later one if positive.
	StatusVersion int `json:"digest"`
}
