// Package cluster runs a fleet of relays as processes of the real program on loopback, puts faults between
// and into them, and checks what came of it. It owns the processes and their files, the schedules of faults,
// which are drawn from a seed or read from a file, the servers, clients and proxies around them, and the
// rules that their histories and the clients' records are held against.
//
// Only tests call it; the program under test is built with the tag faults (see internal/testing/faultpoint),
// the shipped one has no fault injection points. It never takes part in what it observes: a relay's state is
// read from its history, its log and its commands. A Cluster's methods are not safe for concurrent use, but
// for Load.
package cluster
