// Package scale measures what the control traffic of hundreds of relays costs, all in one process: the
// program's own gossip.Node, with relay.EventLoop where relays share load reports, on a simulated network and
// without client sockets. It owns the fleet, its layout in zones and cells, and the figures by relay and by
// kind of traffic.
//
// Only its tests call it; docs/measurements has what the long ones print. It takes time from package time
// alone, so it runs in the virtual time of testing/synctest, where a second of a fleet takes what processor
// time it needs, and in real time. It never decides in the program's place: whatever relays send is their
// own.
package scale
