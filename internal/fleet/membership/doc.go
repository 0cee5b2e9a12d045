// Package membership decides which relays are in the fleet, and what share of each fleet-wide budget a relay
// may take.
//
// A Node is the part of one relay. It holds the relay's view, its votes on the next one, the lease by which
// the relay may use its share, what is known of the peers, and in a fleet of cells the relay's part in
// joining and activating plans. Views are chosen by Paxos among a few voters (proposer.go, acceptor.go,
// voting.go). The shares of a view and of all earlier views together add up to at most the full budget
// (nextview.go), and a relay holds its share under a lease (lease.go). safeguards.go lists the rules that
// keep this sum; docs/design/members.md has the guarantee, the reasons and an outline of the proof,
// docs/design/cells.md those for cells.
//
// A Node is driven by internal/wire/gossip and by internal/simulation/model: they pass it events and the
// time, and carry out its actions in their order. A Node does no I/O, reads no clock and starts no goroutine,
// and does nothing that follows from a record that could not be stored.
//
// All times are durations since an arbitrary origin of one relay's monotonic clock. Clocks of two relays are
// never compared.
package membership
