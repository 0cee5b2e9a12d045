package decide

import (
	"slices"
	"time"
)

// serverState is what this relay knows of one server. Each part belongs to one rule, in the file beside it.
type serverState struct {
	Endpoint
	zoneIndex         int         // endpoints.go: place in its zone's list, -1 if nothing new may go there
	connections       []RequestID // requests.go: own attempts in flight and open connections
	reading           reading     // load.go
	inPool            bool        // probes.go
	probePendingUntil time.Duration
	health            health    // outlier.go
	slowStart         slowStart // slow_start.go
	excessConnections int       // rebalance.go: own connections that are to move from here
}

// endpointSet is the endpoint list as this relay applies it.
//
// Invariant: a server is in serversByZone, at zoneIndex of its zone, exactly while it is listed as ready in
// a zone of the settings; a server outside of it gets nothing new.
type endpointSet struct {
	servers        []serverState // by ServerID
	serversByZone  [][]ServerID  // the order within a zone means nothing
	listingVersion uint64        // rises as serversByZone or a rendezvous key in it changes
}

func newEndpointSet(zones int) *endpointSet {
	return &endpointSet{serversByZone: make([][]ServerID, zones)}
}

// stateOf finds a server's state; one that no list has named yet is made, and is given nothing. The pointer
// holds until the next server is made.
func (e *endpointSet) stateOf(id ServerID) *serverState {
	for int(id) >= len(e.servers) {
		e.servers = append(e.servers, serverState{
			zoneIndex: -1,
			reading:   reading{at: -1},
			slowStart: slowStart{startedAt: -1},
		})
	}
	return &e.servers[id]
}

// apply takes in a watch event that brings a list. From the moment a server drains or is gone nothing new
// goes to it (rule 3). One that started within the slow-start window is in slow start.
func (e *endpointSet) apply(event WatchEvent, now, slowStartWindow time.Duration) {
	if event.Kind == Snapshot || event.Kind == CachedSnapshot { // who is not in a complete list is gone
		for i := range e.servers {
			s := &e.servers[i]
			e.updateEndpoint(Endpoint{Server: ServerID(i), Zone: s.Zone, StartedAt: s.StartedAt})
		}
	}
	for _, endpoint := range event.Endpoints {
		s := e.stateOf(endpoint.Server)
		if endpoint.StartedAt != s.StartedAt && now-endpoint.StartedAt < slowStartWindow {
			s.startSlowStart(endpoint.StartedAt)
		}
		e.updateEndpoint(endpoint)
	}
}

// updateEndpoint takes in one line of the list.
func (e *endpointSet) updateEndpoint(endpoint Endpoint) {
	s := e.stateOf(endpoint.Server)
	wasListed, oldKey := s.zoneIndex >= 0, s.RendezvousKey
	if wasListed && (endpoint.State != Ready || endpoint.Zone != s.Zone) {
		list := e.serversByZone[s.Zone]
		e.swapInZone(list, s.zoneIndex, len(list)-1)
		e.serversByZone[s.Zone] = list[:len(list)-1]
		s.zoneIndex = -1
		s.reading.invalidate()
	}
	s.Endpoint = endpoint
	if s.zoneIndex < 0 && endpoint.State == Ready && int(endpoint.Zone) < len(e.serversByZone) {
		s.zoneIndex = len(e.serversByZone[endpoint.Zone])
		e.serversByZone[endpoint.Zone] = append(e.serversByZone[endpoint.Zone], endpoint.Server)
	}
	isListed := s.zoneIndex >= 0
	if isListed != wasListed || isListed && s.RendezvousKey != oldKey {
		e.listingVersion++
	}
}

// listedCount is how many servers may be given something new.
func (e *endpointSet) listedCount() (n int) {
	for _, zone := range e.serversByZone {
		n += len(zone)
	}
	return n
}

// swapInZone exchanges two servers of a zone's list.
func (e *endpointSet) swapInZone(list []ServerID, i, j int) {
	list[i], list[j] = list[j], list[i]
	e.servers[list[i]].zoneIndex, e.servers[list[j]].zoneIndex = i, j
}

// holds tells whether an attempt or a connection of the request is at the server.
func (s *serverState) holds(id RequestID) bool { return slices.Contains(s.connections, id) }
