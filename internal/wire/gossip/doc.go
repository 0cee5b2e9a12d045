// Package gossip is the driver of internal/fleet/membership and internal/fleet/cells: it connects relays by
// hashicorp/memberlist, carries the messages of membership.Node and cells.Coordinator in envelopes, and
// stores the record of the membership.Node on disk.
//
// It owns the sockets of gossip, the keys that encrypt packets, the record file with its lock, the table of
// peers and the counters of dropped messages. The lifecycle package creates a [Node] and runs it. The relay's
// event loop takes the fleet's status from it (LockStatus), and shared probing sends readings and placements
// through it. Messages from peers reach membership.Node and cells.Coordinator as events, which Run handles
// one at a time. Readings and placements do not pass through Run but go to Config.OnProbingEvent.
//
// The package makes no decisions: membership.Node and cells.Coordinator decide when to send, what to store
// and what a status means. It drops malformed and duplicate messages, and messages that exceed the size of a
// queue, as messages are repeated periodically.
package gossip
