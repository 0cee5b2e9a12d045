// Package zookeeper is a client of ZooKeeper. It implements ZooKeeper's binary protocol: frames of a length
// and big-endian records.
//
// Client watches an endpoint list kept as ephemeral nodes: the children of a path, each with its address and
// lifecycle as JSON. It implements relay.Discovery; package lifecycle and the plugin run it. Session keeps a
// session for package resume, whose nodes record which relay owns a stream. Both use conn for their
// connections.
//
// The package does not decide when a lost watch is opened again (the decision module does, by Watch), and
// does not repeat requests: one without an answer ends with ConnectionLoss.
package zookeeper
