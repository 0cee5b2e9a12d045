// Package store keeps rows that outlive a process, in one file of an embedded database (bbolt).
//
// A Store owns the file, the queue of rows on their way to it, and the bounds of age and size. Package
// observe/watch appends and scans; package lifecycle opens and runs one; commands scan one read-only. It
// knows nothing of what a row's value says.
//
// Whoever appends never waits for a disk: one goroutine writes what has come, in one transaction a second. A
// disk that is full, read-only or missing is logged once and tried again; meanwhile rows wait in a bounded
// queue, and those that do not fit are dropped and counted. After a SIGKILL at most the last second is lost. A
// transaction is there as a whole or not at all.
package store
