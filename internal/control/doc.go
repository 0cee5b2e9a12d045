// Package control is the server and the client of a relay's control socket, a unix socket of mode 0600 on
// which a running relay is queried. Each connection carries one query and its reply, each a line of JSON. A
// query that follows events is answered by one more line per event, until the client closes the connection.
//
// Package lifecycle runs the server, and the command line is the client. Queries only read the state of the
// relay and never change it.
package control
