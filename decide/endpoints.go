package decide

import (
	"slices"
	"time"
)

// serverState is what this relay knows of one server. Each field belongs to the rule in the file named beside
// it.
type serverState struct {
	Endpoint
	zoneIndex         int         // endpoints.go: index in its zone's list, -1 if it may not get new attempts
	connections       []RequestID // requests.go: own attempts in flight and open connections
	reading           reading     // load.go
	inPool            bool        // probes.go
	probePendingUntil time.Duration
	health            health    // outlier.go
	slowStart         slowStart // slow_start.go
	excessConnections int       // rebalance.go: number of own connections that are to migrate
}

// endpointSet is the endpoint list as applied by this relay.
//
// Invariant: a server is in serversByZone, at zoneIndex of its zone, if and only if it is listed as ready in
// a zone of the settings; any other server gets no new attempts.
type endpointSet struct {
	servers        []serverState // by ServerID
	serversByZone  [][]ServerID  // the order within a zone has no meaning
	listingVersion uint64        // incremented when serversByZone or a rendezvous key in it changes
}

func newEndpointSet(zones int) *endpointSet {
	return &endpointSet{serversByZone: make([][]ServerID, zones)}
}

// stateOf returns a server's state. The state of a server that no list has named yet is created as not
// listed. The pointer is valid until the next server is created.
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

// apply updates the set from a watch event that carries a list. A server gets no new attempts as soon as it
// is draining or removed (rule 3). A server that started within the slow-start window is put into slow start.
func (e *endpointSet) apply(event WatchEvent, now, slowStartWindow time.Duration) {
	if event.Kind == Snapshot || event.Kind == CachedSnapshot { // other servers are removed
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

// updateEndpoint applies one entry of the list.
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

// listedCount is the number of servers that may get new attempts.
func (e *endpointSet) listedCount() (n int) {
	for _, zone := range e.serversByZone {
		n += len(zone)
	}
	return n
}

// swapInZone swaps two servers of a zone's list.
func (e *endpointSet) swapInZone(list []ServerID, i, j int) {
	list[i], list[j] = list[j], list[i]
	e.servers[list[i]].zoneIndex, e.servers[list[j]].zoneIndex = i, j
}

// holdsRequest reports whether an attempt or a connection of the request is at the server.
func (s *serverState) holdsRequest(id RequestID) bool { return slices.Contains(s.connections, id) }
