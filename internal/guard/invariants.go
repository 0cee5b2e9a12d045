package guard

import (
	"sync/atomic"
	"time"
)

// Invariant is a rule of the protocol page that is checked, after each act, as the relay runs.
type Invariant uint8

// The invariants.
const (
	// NoNewRequestAfterDrain: nothing new goes to a server later than DrainGrace after the watch event by which
	// it drains or is gone, and nothing by an endpoint list whose lease has long expired.
	NoNewRequestAfterDrain Invariant = iota
	// NoDuplicateAttempt: a request has one attempt in flight, and does not run again where it must not.
	NoDuplicateAttempt
	// AnswerInTime: a request has its answer at most AnswerSlack after its deadline.
	AnswerInTime
	// RejectOnlyIfRetryHarmless: a request that may have run and must not run twice is failed, never rejected.
	RejectOnlyIfRetryHarmless

	invariantCount
)

// invariantNames are values of the metric relay_violations' label: operators' dashboards know them.
var invariantNames = [invariantCount]string{
	NoNewRequestAfterDrain:    "drain",
	NoDuplicateAttempt:        "duplicate",
	AnswerInTime:              "late",
	RejectOnlyIfRetryHarmless: "promise",
}

// String returns the invariant's name in logs and metrics, "unknown" for a value that is none.
func (i Invariant) String() string { return nameOf(invariantNames[:], uint8(i)) }

// Invariants returns all invariants.
func Invariants() []Invariant {
	var all []Invariant
	for i := NoNewRequestAfterDrain; i < invariantCount; i++ {
		all = append(all, i)
	}
	return all
}

const (
	// DrainGrace is how long after a relay is notified that a server drains or is gone the rules still allow
	// something new there. It only bounds violations: MayWrite denies from the watch event on.
	DrainGrace = 500 * time.Millisecond
	// AnswerSlack is how long after a request's deadline its answer may come: 20 ms by the rules, and 50 ms
	// more on sockets.
	AnswerSlack = 70 * time.Millisecond
)

// maxKinds bounds the kinds that a counter tells apart: it does not compile if there are more of either.
const (
	maxKinds       = 32
	_        uint8 = maxKinds - uint8(invariantCount)
	_        uint8 = maxKinds - uint8(denialCount)
)

// counter counts by kind since the process started. The zero one is ready; it is safe for use by many
// goroutines.
type counter[Kind ~uint8] struct{ counts [maxKinds]atomic.Uint64 }

// Add counts one of a kind. A kind that is none is not counted.
func (c *counter[Kind]) Add(kind Kind) {
	if kind < maxKinds {
		c.counts[kind].Add(1)
	}
}

// Count returns how many of a kind there were.
func (c *counter[Kind]) Count(kind Kind) uint64 {
	if kind >= maxKinds {
		return 0
	}
	return c.counts[kind].Load()
}

// ViolationCounts counts by invariant what was done against it.
type ViolationCounts = counter[Invariant]

// DenialCounts counts by reason what was denied.
type DenialCounts = counter[Denial]
