// Package probing decides what each of many relays does of what all need only once: who probes which
// server, and whose readings are believed.
//
// A Scheduler owns what one relay knows of servers' loads, by its own probes and by what peers pass on,
// and whom of the peers it doesn't believe; Assign says who probes what. Its drivers are the relay's
// event loop (internal/relay) and internal/simulation/model. It is fed events, takes time as an argument,
// returns actions, reads no clock and does no I/O. docs/design/fleet.md has the reasons.
//
// All times are durations since an arbitrary origin of this relay's monotonic clock. A reading carries
// its origin's own clock only to tell which of two is newer, and how much later than others of that
// origin it came; no two relays' clocks are compared otherwise.
package probing
