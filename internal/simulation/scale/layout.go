package scale

import (
	"fmt"
	"time"

	"capersail/internal/simulation/network"
)

// Layout assigns relays to zones and regions: relay i is in zone i modulo Zones, zone z in region z modulo
// Regions.
type Layout struct {
	Regions, Zones int
}

// LargeLayout is the layout of the large fleet: 5 regions and 17 zones.
var LargeLayout = Layout{Regions: 5, Zones: 17}

// One-way delays of packets.
const (
	delayInZone   = 250 * time.Microsecond
	delayInRegion = time.Millisecond
	delayPerHop   = 20 * time.Millisecond // between adjacent regions, which form a ring
)

// Place returns the location of relay i.
func (l Layout) Place(i int) network.Place {
	zone := i % l.Zones
	return network.Place{
		Region: fmt.Sprintf("region-%d", zone%l.Regions),
		Zone:   fmt.Sprintf("zone-%02d", zone),
	}
}

// Delay returns the one-way delay of a packet between two places.
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

// Name returns the name of relay i.
func Name(i int) string { return fmt.Sprintf("r%04d", i) }

// Address returns the address that relay i listens on.
func Address(i int) string { return fmt.Sprintf("%s:%d", hostOf(i), port) }

// port is the port of every relay.
const port = 7946

func hostOf(i int) string { return fmt.Sprintf("127.9.%d.%d", i/250, 1+i%250) }
