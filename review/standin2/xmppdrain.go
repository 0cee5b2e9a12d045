package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// listUnreachable lasts to the end of the day here (BRIEF, Troubles so far: out of reach for 8.6 to 24 s).
	listUnreachable = 18 * time.Second
	// drainServers: one of four drains and stays up to the day's end (STANDING, calm+brink: a quarter).
	drainServers   = 4
	streamLife     = 3 * time.Second
	notifiedWithin = 6 * time.Second // PROTOCOL, Figures: counts as told 6 s later at the latest
	drainGrace     = 500 * time.Millisecond
	socketSlack    = 50 * time.Millisecond // PROTOCOL: every time limit is 50 ms longer
)

// xmppDrainCase drains a server while the registry of the XMPP front is out of reach.
func xmppDrainCase(h *harness) {
	const path = "/alerts/servers"
	zk := h.newRegistry(path)
	link := h.newProxy(zk.address)
	var mu sync.Mutex
	var toldAt time.Time // when the relay counts as told of the drain; zero before
	var servers []*xmppServer
	for i := range drainServers {
		s := h.newXMPPServer(fmt.Sprintf("s-%d", i))
		servers = append(servers, s)
		zk.set(path+"/"+s.id, s.node("Ready"))
	}
	draining := servers[0]
	lateStreams := 0
	draining.onAuth = func(connectedAt time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if !toldAt.IsZero() && connectedAt.After(toldAt.Add(drainGrace+socketSlack)) {
			lateStreams++
			h.breaks("server %s got a new stream %.2f s after the relay counts as told that it drains",
				draining.id, connectedAt.Sub(toldAt).Seconds())
		}
	}
	address := h.freeAddress()
	config := h.writeFile("xmpp.toml", xmppConfig(address, link.address))
	h.startRelay("n1", "--xmpp "+config, nil, "TMPDIR="+h.dir)
	h.awaitXMPP(address)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for {
			clients.Go(func() {
				s, outcome := h.openXMPP(address, 9*time.Second)
				h.logf("stream %d: %s at %s", s.number, outcome, s.server)
				if outcome != "established" {
					return
				}
				if how := s.awaitEnd(time.Now().Add(streamLife)); how != "" {
					h.logf("stream %d at %s was cut off: %s", s.number, s.server, how)
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	})
	time.Sleep(4 * time.Second)
	silentAt := time.Now()
	if h.trouble {
		link.setSilent(true)
		h.logf("registry out of reach: what it sends is lost, new connections get no answer")
	}
	time.Sleep(time.Second)
	zk.set(path+"/"+draining.id, draining.node("Terminating"))
	h.logf("server %s drains (lifecycle Terminating)", draining.id)
	mu.Lock()
	toldAt = time.Now()
	if h.trouble {
		toldAt = silentAt.Add(time.Second + notifiedWithin)
	}
	mu.Unlock()
	time.Sleep(listUnreachable - 2*time.Second)
	h.logf("the day ends: server %s, which has stayed up, stops", draining.id)
	draining.stop()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	h.logf("%d new streams at the draining server after the grace", lateStreams)
}
