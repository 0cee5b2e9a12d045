// Package scale runs hundreds of relays in one process to measure what their control traffic costs: the deciders and the
// driver of the program (gossip.Node, and relay.Core where they share readings of servers) on a simulated network, without client
// sockets. It uses nothing but package time, so that it runs in the virtual time of testing/synctest, where a second of a fleet takes
// as much processor time as it needs; and in real time.
package scale

import (
	"fmt"
	"time"

	"capersail/internal/simulation/network"
)

// Layout says where relays stand: relay i is in zone i modulo Zones, zone z in region z modulo Regions.
type Layout struct {
	Regions, Zones int
}

// LargeLayout is the layout of the large fleet: 5 regions and 17 zones.
var LargeLayout = Layout{Regions: 5, Zones: 17}

// One way delays.
const (
	delayInZone   = 250 * time.Microsecond
	delayInRegion = time.Millisecond
	delayPerHop   = 20 * time.Millisecond // between regions that are next to each other on a ring
)

// Place is where relay i stands.
func (l Layout) Place(i int) network.Place {
	zone := i % l.Zones
	return network.Place{Region: fmt.Sprintf("region-%d", zone%l.Regions), Zone: fmt.Sprintf("zone-%02d", zone)}
}

// Delay is how long a packet takes one way.
func (l Layout) Delay(from, to network.Place) time.Duration {
	switch {
	case from.Zone == to.Zone:
		return delayInZone
	case from.Region == to.Region:
		return delayInRegion
	}
	hops := int(from.Region[len(from.Region)-1]) - int(to.Region[len(to.Region)-1])
	if hops < 0 {
		hops = -hops
	}
	return delayPerHop * time.Duration(min(hops, l.Regions-hops))
}

// Name is what relay i is called.
func Name(i int) string { return fmt.Sprintf("r%04d", i) }

// Address is where relay i listens.
func Address(i int) string { return fmt.Sprintf("%s:%d", hostOf(i), port) }

// port is what all relays listen on.
const port = 7946

func hostOf(i int) string { return fmt.Sprintf("127.9.%d.%d", i/250, 1+i%250) }
