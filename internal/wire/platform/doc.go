// Package platform speaks the platform's protocol: lines of text over TCP, with clients on one side and
// servers on the other.
//
// It owns the protocol's lines (wire.go, opening.go, lines.go), the goroutine that reads each client
// (Frontend), the one that reads each attempt's server (ServerDialer) and the connections kept for probes.
// The two sides meet only in relay.RequestTable. Package lifecycle makes both and hands the ServerDialer to
// the table.
//
// It never decides: whether a request is admitted, where it is attempted and when it is migrated comes from
// the event loop. It closes no client's connection but from the goroutine that reads it, or, once the request
// is established, from the one that writes to it.
package platform
