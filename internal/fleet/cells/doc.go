// Package cells lets the cells of a fleet know of each other. In each cell one relay, the representative,
// sends a Summary of its cell to one contact of each other cell, at a steady pace, and tells its own cell
// in a Directory what has come. What goes between cells is evidence and never authority: no relay
// takes more of a budget because a representative says so, but only because every cell is known to have
// joined the numbered plan that gives it more. A representative that dies, is doubled or comes back with
// old numbers can delay that and nothing else.
//
// The Coordinator owns what one relay knows of other cells; its driver is internal/wire/gossip. It
// decides, and does no I/O, reads no clock and starts no goroutine; times are durations since an
// arbitrary origin of its driver's clock.
package cells
