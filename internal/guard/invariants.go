package guard

import (
	"sync/atomic"
	"time"
)

// Invariant is a rule of the protocol page that the running relay verifies after each action.
type Invariant uint8

// The invariants that the relay verifies.
const (
	// NoNewRequestAfterDrain: a relay sends no new request to a server later than DrainGrace after the watch
	// event that reported the server as draining or removed, or once the endpoint list is so old that such an
	// event may have been missed (EndpointLease.MayViolateDrainRule).
	NoNewRequestAfterDrain Invariant = iota
	// NoDuplicateAttempt: a request has at most one attempt in flight, and is not executed a second time if
	// it must not be.
	NoDuplicateAttempt
	// AnswerInTime: a request is answered at most AnswerSlack after its deadline.
	AnswerInTime
	// RejectOnlyIfRetryHarmless: a request that a server may have executed, and that must not be executed
	// twice, is failed and never rejected.
	RejectOnlyIfRetryHarmless

	invariantCount
)

// invariantNames are the label values of the metric relay_violations. Operators' dashboards depend on them.
var invariantNames = [invariantCount]string{
	NoNewRequestAfterDrain:    "drain",
	NoDuplicateAttempt:        "duplicate",
	AnswerInTime:              "late",
	RejectOnlyIfRetryHarmless: "promise",
}

// String returns the invariant's name in logs and metrics, or "unknown" for an undefined value.
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
	// DrainGrace is how long the protocol still allows new requests to a server after the relay has been
	// notified that the server is draining or removed. It only defines what counts as a violation: MayWrite
	// denies such requests from the moment of the watch event.
	DrainGrace = 500 * time.Millisecond
	// AnswerSlack is how late a request may be answered after its deadline: 20 ms by the protocol, plus 50 ms
	// for the delay of real sockets.
	AnswerSlack = 70 * time.Millisecond
)

// maxKinds is the number of kinds that a counter has room for. The constants below do not compile if there
// are more invariants or denials than that.
const (
	maxKinds       = 32
	_        uint8 = maxKinds - uint8(invariantCount)
	_        uint8 = maxKinds - uint8(denialCount)
)

// counter counts events by kind since the start of the process. The zero value is ready for use. A counter is
// safe for concurrent use.
type counter[Kind ~uint8] struct{ counts [maxKinds]atomic.Uint64 }

// Add counts one event of a kind. An undefined kind is ignored.
func (c *counter[Kind]) Add(kind Kind) {
	if kind < maxKinds {
		c.counts[kind].Add(1)
	}
}

// Count returns the number of events of a kind.
func (c *counter[Kind]) Count(kind Kind) uint64 {
	if kind >= maxKinds {
		return 0
	}
	return c.counts[kind].Load()
}

// ViolationCounts counts the violations of each invariant.
type ViolationCounts = counter[Invariant]

// DenialCounts counts denied actions by reason.
type DenialCounts = counter[Denial]
