// Package xmpp implements the stream protocol of RFC 6120 with clients on one side and servers on the other.
//
// It contains the scanner that splits a connection into items, the goroutine that reads each client
// (Frontend), with STARTTLS, and the goroutine that runs each attempt (ServerDialer): the handshake with the
// server, forwarding SASL both ways, then forwarding stanzas. The two sides share the relay.RequestTable and
// the stream that is their request's payload. Package lifecycle creates both and passes the ServerDialer to
// the table.
//
// The package does not decide where a request is attempted, and it never sends a stanza to two servers:
// stanzas that a server has not confirmed when it is lost are returned to the client as errors.
package xmpp
