// Package fake implements the external systems that tests connect to, written from their public
// specifications: the platform's servers and their discovery service, servers of scan streams with the
// clients that watch them, a ZooKeeper service and an XMPP server. Each listens on loopback and offers
// methods that inject faults at any time.
//
// The package is used by tests, by the test cluster (internal/testing/cluster) and by the program's demo
// (internal/command). It never imports what it tests, and nothing that serves requests imports it.
package fake
