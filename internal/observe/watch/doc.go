// Package watch runs the timelines and the anomaly detection of one front: it takes the recorder's records,
// applies them, writes what is complete to a store, and answers queries from memory or from a store.
//
// It owns the Watcher with its lock, the list of events and those that follow it, and the buckets and rows of
// the store. Package lifecycle makes and runs one a front; package control answers operators' queries with
// it. It decides nothing about requests, and an error of the store never stops it.
//
// Times of rows and of reports are Unix times in milliseconds, by the relay's own clock; durations and
// instants within this package are time.Duration on that clock.
package watch
