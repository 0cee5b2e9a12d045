// Package membership decides who is in the fleet and what share of a fleet-wide budget each relay may take.
//
// A Node is one relay's part in that. It owns the view that the relay holds, its votes on the next one,
// the lease by which it acts on its share, what it knows of its peers, and in a fleet of cells its part
// in joining and activating plans. Views are chosen by Paxos among a few voters (proposer.go,
// acceptor.go, voting.go), each giving shares that with all earlier views add up to the full budget at most
// (nextview.go), and shares are held under leases (lease.go). What keeps the sum is listed in
// safeguards.go; docs/design/members.md has the promise, the reasons and the proof's outline,
// docs/design/cells.md those of cells.
//
// Its drivers are internal/wire/gossip and internal/simulation/model: they feed it events and the time,
// and carry out its actions in their order. It does no I/O, reads no clock, starts no goroutine, and
// never acts on what a Save that failed was to keep.
//
// All times are durations since an arbitrary origin of one relay's monotonic clock; no two relays' clocks
// are ever compared.
package membership
