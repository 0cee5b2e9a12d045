// Package fake holds the outside systems that tests speak to, written from their public specifications:
// a service of ephemeral nodes, an XMPP server, and the platform's servers and list. Nothing that serves imports
// it; the program's demo runs on it.
package fake
