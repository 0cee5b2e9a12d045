// Package watch runs the timelines and the anomaly detection of one front. It applies the recorder's records
// to them, writes completed intervals, states and events to a store, and answers queries from memory or from
// a store.
//
// The package owns the Watcher with its lock, the list of events and its followers, and the buckets and rows
// of the store. Package lifecycle creates and runs one Watcher per front; package control uses it to answer
// the queries of operators. The package makes no decisions about requests, and an error of the store never
// stops it.
//
// The times of rows and reports are Unix times in milliseconds by the relay's own clock; durations and
// instants within this package are time.Duration values on that clock.
package watch
