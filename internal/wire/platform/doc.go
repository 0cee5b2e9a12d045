// Package platform implements the platform's protocol: lines of text over TCP, with clients on one side and
// servers on the other.
//
// It contains the protocol's lines (wire.go, opening.go, lines.go), the goroutine that reads each client
// (Frontend), the goroutine that reads each attempt's server (ServerDialer) and the connections for probes.
// The two sides share only the relay.RequestTable. Package lifecycle creates both and passes the ServerDialer
// to the table.
//
// The package makes no decisions: whether a request is admitted, which server it is attempted at and when it
// is migrated comes from the event loop. A client's connection is closed only by the goroutine that reads it
// or, once the request is established, by the goroutine that writes to it.
package platform
