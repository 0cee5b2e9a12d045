// Package fake holds the outside systems that tests speak to, written from their public specifications: the
// platform's servers and their discovery, servers of scan streams with the clients that watch them, a
// ZooKeeper service and an XMPP server. Each listens on loopback and takes its faults by method, at any time.
//
// Tests, the test cluster (internal/testing/cluster) and the program's demo (internal/command) call it. It
// never imports what it tests, and nothing that serves requests imports it.
package fake
