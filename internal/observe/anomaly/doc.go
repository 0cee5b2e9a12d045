// Package anomaly finds where a server departs from its usual ways: against its own past, and against its
// peers in the same seconds. Each kind of anomaly is a named pattern with its evidence; what most of the
// fleet does at once is one event of the fleet.
//
// It owns what is remembered of each server for that, and the form of the events. Package observe/watch gives
// it the recorder's records and the passing of time, and logs, stores and shows the events. It decides
// nothing about placements, reads no clock and does no I/O: instants are those of the records, on the relay's
// monotonic clock.
package anomaly
