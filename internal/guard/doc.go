// Package guard is the one place that decides whether a relay may do something now: start an attempt, write
// its first byte, reject, answer, or take on a request. Each question is one function ([MayAttempt],
// [MayWrite], [MayReject], [MayAccept], [MayAnswer]): the caller hands in the facts of that moment and gets
// a [Denial], [Allowed] if nothing stands in the way. The rules are those of the protocol page.
//
// It owns the [EndpointLease], which bounds how old the endpoint list may be by which new requests are
// placed, and the counters of what was denied ([DenialCounts]) and of what was done against an [Invariant]
// all the same ([ViolationCounts]): each of those is a fault of this program.
//
// The request table of internal/relay is the only caller. It asks right before the act and does nothing
// that is denied. The decision module, decide, plans attempts by the same rules from what it knew when it
// placed them; this package enforces the rules at the moment of the act. Where one predicate serves both it
// is decide's: Idempotency.RepeatIsHarmless and DedupScope.Covers.
//
// It has no clock, no lock, no goroutine and no I/O: instants are handed in, as time.Durations since any one
// origin of the caller's monotonic clock.
package guard
