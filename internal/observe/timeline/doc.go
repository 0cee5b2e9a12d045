// Package timeline builds a timeline of each server from the recorder's records: the server's states, its
// load reports, its faults and the relay's decisions about it, in intervals that grow coarser with age.
//
// The package owns the timelines in memory and the format of their rows. Package observe/watch applies
// records, stores the rows that a Sink receives and answers queries for them; package observe/report prints
// them. The package reads no clock and does no I/O: instants are taken from the records, on the relay's
// monotonic clock. Rows have Unix times in milliseconds.
package timeline
