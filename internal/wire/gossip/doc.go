// Package gossip is the driver round internal/fleet/membership and internal/fleet/cells: it lets relays hear
// of each other by hashicorp/memberlist, carries messages of their membership.Node and cells.Coordinator in
// envelopes, and keeps the record that a membership.Node wants kept.
//
// It owns the sockets of gossip, the keys that seal packets, the file of the record with its lock, the table
// of peers and the counters of what was dropped. The lifecycle package makes a [Node] and runs it; the
// relay's event loop takes the fleet's status from it (LockStatus), and shared probing sends its readings by
// it. What a peer sends reaches membership.Node and cells.Coordinator as events, through Run, one after
// the other.
//
// It decides nothing: when to send, what to keep and what a status means is decided by those two. It drops
// what no relay sends, what came before, and what it has no room for, as all is sent again.
package gossip
