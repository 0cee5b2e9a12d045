// Package guard enforces the rules of the protocol page: it alone decides whether a relay may start an
// attempt, write the first byte of an attempt, reject, answer, or accept a request. Each check is one
// function ([MayAttempt], [MayWrite], [MayReject], [MayAnswer], [MayAccept]). The caller passes the current
// state of the request and the server, and gets a [Denial], which is [Allowed] if the action is permitted.
//
// The package also contains the [EndpointLease], which limits the age of the endpoint list that new requests
// are placed by, and the counters of denied actions ([DenialCounts]) and of violations of an [Invariant]
// ([ViolationCounts]). Every violation is a bug in this program.
//
// The request table of internal/relay is the only caller. It calls a check immediately before the action and
// skips the action if it is denied. The decision module (package decide) plans attempts by the same rules,
// but from what it knew at the time of the placement; package guard applies them at the time of the action.
// Predicates that both need are declared in package decide: Idempotency.RepeatIsHarmless and
// DedupScope.Covers.
//
// Package guard has no clock, locks, goroutines or I/O. Callers pass instants as time.Durations since a fixed
// origin of their monotonic clock.
package guard
