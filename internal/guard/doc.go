// Package guard is the one place that decides whether a relay may do something now: start an attempt, write its first byte, retry,
// reject, answer, or take on a request. Each question is one function ([MayAttempt], [MayWrite], [MayReject], [MayAccept],
// [MayAnswer]); the caller hands in the facts of that moment and gets a [Denial], [Allowed] if nothing stands in the way. The rules
// are those of the protocol page.
//
// It owns the [EndpointLease], which bounds how old an endpoint list may be that new requests are placed by, and the counters of what
// was denied ([DenialCounts]) and of what was done against a rule all the same ([ViolationCounts]): each of these is a fault of this
// program.
//
// The request table of internal/relay is the only caller. It asks right before the act and does nothing that is denied. The decision
// module in decide plans attempts by the same rules from what it knew earlier; this package enforces them at the moment of the act.
//
// It has no clock, no lock, no goroutine and no I/O: instants are handed in.
package guard
