// Package ownership decides whether this relay may serve a resumable stream, using a session lease and
// fencing tokens.
//
// It keeps the state of one relay's streams: which ones the relay owns, is acquiring or is releasing, the
// fencing token of each, and the time until which the session's lease can be trusted. The state that relays
// share, a record and an ephemeral holder node for each stream, is stored in the ownership service. That
// service must offer what ZooKeeper offers: exclusive creation of nodes, ephemeral nodes that are deleted
// with their session, versions of nodes, and transactions of several operations.
//
// Package resume drives this package: it passes events to a Lease and executes the actions that the Lease
// returns. A Lease receives the time as an argument; it never reads a clock, starts a goroutine, takes a lock
// or does I/O.
//
// Instants are durations since the origin of one relay's monotonic clock; the clocks of two relays are never
// compared. Only a Record, which all relays share, contains Unix time. docs/design/resume.md explains the
// design.
package ownership
