package main

import (
	"fmt"
	"sync"
	"time"
)

// The case new-discovery: a new configuration moves discovery to an address that is crowded, and a tile
// server begins to drain. 4 s after SIGHUP what discovery has to tell counts as told; 500 ms later, and 50 ms on
// sockets, nothing new may go to that tile server.
const (
	newDiscoveryServers  = 3
	newDiscoveryEvery    = 40 * time.Millisecond // between two new connections
	newDiscoveryKeep     = 3 * time.Second       // how long a client keeps its connection
	newDiscoveryHUP      = 6 * time.Second       // SIGHUP, from the start of the clients, at the next empty line
	newDiscoveryDrain    = 300 * time.Millisecond
	newDiscoveryCrowd    = 5100 * time.Millisecond // how long the new address is crowded
	newDiscoveryEnds     = 12 * time.Second
	newDiscoveryTold     = 4 * time.Second
	newDiscoveryGrace    = 550 * time.Millisecond
	newDiscoveryDraining = "s1"
)

func newDiscovery(r *record, folder string, trouble bool) (int, error) {
	list := newDiscoveryList()
	first, err := startDiscovery(r, "old discovery", list, 0)
	if err != nil {
		return 0, err
	}
	crowd := time.Duration(0)
	if trouble {
		crowd = newDiscoveryCrowd
	}
	second, err := startDiscovery(r, "new discovery", list, crowd)
	if err != nil {
		return 0, err
	}
	var servers []*tileServer
	for i := range newDiscoveryServers {
		s, err := startTileServer(fmt.Sprintf("s%d", i+1))
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
		list.set(s.id, s.address, "hall-a", "Ready", time.Time{})
	}
	relay, err := startPlatformRelay(folder, first.address, list.whole(), platformSettings)
	if err != nil {
		return 0, err
	}
	defer relay.stop()
	clients := &tileClients{answers: map[string]int{}}
	stop := make(chan struct{})
	var open sync.WaitGroup
	go func() {
		for n := 1; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(newDiscoveryEvery):
			}
			open.Go(func() { clients.open(relay.address, fmt.Sprintf("%016x", n), newDiscoveryKeep) })
		}
	}()
	time.Sleep(newDiscoveryHUP)
	for beat := first.lastBeat(); first.lastBeat().Equal(beat); { // SIGHUP follows an empty line
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if err := relay.writeConfig(second.address, list.whole(), platformSettings); err != nil {
		return 0, err
	}
	hup := time.Now()
	r.add("SIGHUP: discovery moves, it is crowded there for %v", crowd)
	relay.signal(1)
	first.retire()
	time.Sleep(newDiscoveryDrain)
	drained := time.Now()
	servers[0].drain()
	list.set(servers[0].id, servers[0].address, "hall-a", "Terminating", time.Time{})
	r.add("%s drains, discovery has it", servers[0].id)
	time.Sleep(time.Until(hup.Add(newDiscoveryEnds)))
	close(stop)
	if relay.ended() {
		r.add("the relay has ended")
		return ruleBroken, nil
	}
	limit := hup.Add(newDiscoveryTold + newDiscoveryGrace + measuringError)
	late, after := 0, 0
	if arrivals := servers[0].arrivals(); len(arrivals) == 0 || arrivals[0].at.After(hup) {
		return 0, fmt.Errorf("%s was not in use before SIGHUP", servers[0].id)
	}
	for _, a := range servers[0].arrivals() {
		if a.at.Before(drained) {
			continue
		}
		after++
		mark := ""
		if a.at.After(limit) {
			late++
			mark = " OVER THE LIMIT"
		}
		r.add("%s got OPEN %s at %.3f, %.3f s after SIGHUP, answered %s%s", servers[0].id, a.id, r.since(a.at),
			a.at.Sub(hup).Seconds(), a.answered, mark)
	}
	for _, s := range servers {
		r.add("%s got %d connections in all", s.id, len(s.arrivals()))
	}
	clients.mu.Lock()
	r.add("clients were answered: %v", clients.answers)
	clients.mu.Unlock()
	r.add("sent to %s after it began to drain: %d; later than %.2f s after SIGHUP: %d", servers[0].id, after,
		(newDiscoveryTold + newDiscoveryGrace).Seconds(), late)
	if late > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
