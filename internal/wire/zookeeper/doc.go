// Package zookeeper is a client of ZooKeeper, in its own framing: a length, then big-endian records.
//
// Client follows an endpoint list kept as ephemeral nodes: the children of a path, each with its address and
// lifecycle as JSON. It implements relay.Discovery; package lifecycle and the plugin run it. Session keeps
// one session for package resume, whose nodes say which relay owns a stream. Both speak on a conn.
//
// It never decides when a lost watch begins again (the decision module does, by Watch), and never sends a
// request twice: one without an answer is answered ConnectionLoss.
package zookeeper
