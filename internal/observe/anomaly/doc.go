// Package anomaly detects abnormal behaviour of servers by comparing each server with its own past and with
// its peers over the same seconds. Each kind of anomaly is a named pattern with its evidence. An anomaly that
// most servers of the fleet show at the same time is reported as one event of the fleet.
//
// The package owns the per-server state needed for detection and the format of the events. Package
// observe/watch passes it the recorder's records and the current time, and logs, stores and shows the events.
// The package makes no placement decisions, reads no clock and does no I/O: instants are taken from the
// records, on the relay's monotonic clock.
package anomaly
