package guard

import "sync/atomic"

// Invariant is a rule of the protocol page that is checked as the relay runs.
type Invariant uint8

// The rules.
const (
	NothingNewAfterDrain Invariant = iota // something new was sent to a server after the grace, or by a list that had lapsed
	NoDuplicateAttempt                    // two attempts were out at once, or a request ran again that must not
	AnswerInTime                          // a request had its answer after its time
	RejectOnlyIfHarmless                  // a request was refused that may have run and must not run twice
	invariantCount
)

var invariantNames = [invariantCount]string{"drain", "duplicate", "late", "promise"}

// String is the rule as logs and figures have it.
func (r Invariant) String() string {
	if r >= invariantCount {
		return "unknown"
	}
	return invariantNames[r]
}

// Invariants are all rules that are checked.
func Invariants() (all []Invariant) {
	for r := NothingNewAfterDrain; r < invariantCount; r++ {
		all = append(all, r)
	}
	return all
}

// DrainGrace is how long after the news something may still go to a server that drains or is gone, in ms.
const DrainGrace = 500.0

// AnswerSlack is how long after a request's time its answer may come, in ms: 20 by the rules and 50 more on sockets.
const AnswerSlack = 70.0

// mostKinds bounds the kinds that a counter tells apart: it does not compile if there are more rules or denials.
const (
	maxKinds       = 32
	_        uint8 = maxKinds - uint8(invariantCount)
	_        uint8 = maxKinds - uint8(denialCount)
)

// counter counts by kind since the process started. The zero one is ready; it is safe for use by many goroutines.
type counter[Kind ~uint8] struct{ counts [maxKinds]atomic.Uint64 }

// Add counts one.
func (c *counter[Kind]) Add(kind Kind) {
	if kind < maxKinds {
		c.counts[kind].Add(1)
	}
}

// Count is how many there were.
func (c *counter[Kind]) Count(kind Kind) uint64 {
	if kind >= maxKinds {
		return 0
	}
	return c.counts[kind].Load()
}

// ViolationCounts counts by rule what was done against it.
type ViolationCounts = counter[Invariant]

// DenialCounts counts what was not done, by the reason.
type DenialCounts = counter[Denial]
