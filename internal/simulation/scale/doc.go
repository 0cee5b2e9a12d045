// Package scale measures the cost of the control traffic of hundreds of relays in one process. It runs the
// program's own gossip.Node, and relay.EventLoop where relays share load reports, on a simulated network and
// without client sockets. The package has the fleet, its layout in zones and cells, and the figures by relay
// and by kind of traffic.
//
// Only its tests call it; docs/measurements has the output of the long ones. Its only clock is package time,
// so it runs in real time and in the virtual time of testing/synctest, where simulated time passes as fast as
// the CPU allows. All traffic is sent by the program's own code: the package makes no decision in its place.
package scale
