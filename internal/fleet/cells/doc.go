// Package cells exchanges summaries between the cells of a fleet. In each cell one relay, the representative,
// sends a Summary of its cell to one contact of each other cell at a steady rate, and publishes a Directory
// of the summaries it has received to its own cell.
//
// These messages carry evidence and never authority. No relay takes more of a budget because a representative
// says so; it does so only once every cell is known to have joined the numbered plan that grants it more. A
// representative that fails, exists twice or restarts with old sequence numbers can delay that, and can do no
// other harm.
//
// A Coordinator holds one relay's knowledge of the other cells; its driver is internal/wire/gossip. It does
// no I/O, reads no clock and starts no goroutine. Times are durations since an arbitrary origin of its
// driver's clock.
package cells
