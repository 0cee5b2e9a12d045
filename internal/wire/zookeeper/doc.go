// Package zookeeper follows a list of servers kept as ephemeral nodes: the children of a path, each with
// its address and lifecycle as JSON. It speaks ZooKeeper's own framing: a length, then big-endian records.
package zookeeper
