// Package timeline turns the recorder's records into a timeline for each server: which state it was in, what
// it reported, what went wrong with it, and what the relay decided about it, in intervals that grow coarser
// with age.
//
// It owns the timelines in memory and the form of their rows. Package observe/watch applies records, stores
// the rows that a Sink gives it and shows them; package observe/report writes them out. It reads no clock and
// does no I/O: instants are those of the records, on the relay's monotonic clock. Rows have Unix times in
// milliseconds.
package timeline
