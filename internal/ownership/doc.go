// Package ownership decides which relay may serve a resumable stream now, by a lease with fencing tokens.
//
// It owns one relay's view of its streams: which it owns, which it is acquiring or releasing, until when its
// session's lease may be trusted, and the fencing token of each. The shared state, a record and an ephemeral
// holder node for each stream, is kept by a service of ZooKeeper's kind: exclusive creation, ephemeral nodes
// that go with their session, versions, and several of these in one transaction.
//
// Package resume drives it: it feeds a Lease with events and does the actions that come back. A Lease takes
// time as an argument and never reads a clock, starts a goroutine, takes a lock or does I/O.
//
// Instants are durations since the origin of one relay's monotonic clock; no two relays' clocks are ever
// compared. Only a Record, which all relays share, has Unix time. docs/design/resume.md has the reasons.
package ownership
