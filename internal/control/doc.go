// Package control is the socket on which a running relay is asked: a unix socket of mode 0600, one question
// and its answer a connection, both JSON on a line. A question that follows events gets one event a line,
// until it ends.
//
// lifecycle listens; the command line asks. The package only reads what a relay knows, and never changes it.
package control
