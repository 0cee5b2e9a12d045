// Package store persists rows in one file of an embedded database (bbolt), so that they outlive the process.
//
// A Store manages the file, the queue of rows that are not written yet, and the bounds on age and size.
// Package observe/watch appends and scans rows, package lifecycle opens and runs a Store, and commands scan
// one read-only. This package does not interpret the values of rows.
//
// Append never waits for the disk: one goroutine writes the queued rows, in one transaction per second. If
// the disk is full, read-only or missing, the failure is logged once and the write is retried. Meanwhile rows
// stay in a bounded queue, and rows that do not fit are dropped and counted. A SIGKILL loses at most the last
// second. A transaction is written completely or not at all.
package store
