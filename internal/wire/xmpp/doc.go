// Package xmpp speaks RFC 6120 with clients on one side and servers on the other.
//
// It owns the scanner that cuts a connection into items, the goroutine that reads each client (Frontend),
// with STARTTLS, and the one that carries each attempt: the server's handshake, SASL both ways, then stanzas
// (ServerDialer). The two sides meet in relay.RequestTable and in the stream that a request of theirs
// carries. Package lifecycle makes both and hands the ServerDialer to the table.
//
// It never decides where a request is attempted, and never sends a stanza to two servers: what a server has
// not confirmed when it is lost goes back to the client as an error.
package xmpp
