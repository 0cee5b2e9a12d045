package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	newsBindsAfterYes = 2 * time.Second  // DAYS, Replacing the process
	listOutOfReach    = 12 * time.Second // casa-tiles: 8.6 to 24 s
)

// staleListCase replaces the process of a relay while the list is out of reach. The old process has been told
// before that a server drains; the new one starts with a list from before the drain.
func staleListCase(h *harness) {
	d := h.newDiscovery()
	var mu sync.Mutex
	var bindsAt time.Time // from when on the drain binds; zero before
	late := 0
	var servers []*tileServer
	for i := range 4 {
		s := h.newTileServer(fmt.Sprintf("s-%d", i))
		servers = append(servers, s)
		d.set(s.id, s.address(), "Ready", 0)
	}
	draining := servers[0]
	draining.onOpen = func(id string, at time.Time) func() {
		mu.Lock()
		defer mu.Unlock()
		if !bindsAt.IsZero() && at.After(bindsAt.Add(drainGrace+socketSlack)) {
			late++
			h.breaks("server %s was sent %s %.2f s after its drain binds", draining.id, id, at.Sub(bindsAt).Seconds())
		}
		return nil
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		h.cannotRun("%v", err)
	}
	socket, err := l.File()
	if err != nil {
		h.cannotRun("%v", err)
	}
	address := l.Addr().String()
	config := h.writeFile("config.json", casaConfig("n1", address, d.address, d.list(), 1, 0))
	start := func(name, admin string) *relayProc {
		return h.startRelay(name, "", socket, "LB_CONFIG="+config, "LB_ADMIN="+admin, "TMPDIR="+h.dir)
	}
	oldAdmin, newAdmin := h.freeAddress(), h.freeAddress()
	old := start("old", oldAdmin)
	if !awaitReady(oldAdmin, 10*time.Second) {
		h.cannotRun("the first process is not ready")
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for {
			clients.Go(func() { h.runClient(address, 6*time.Second) })
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond): // about 4 a second
			}
		}
	})
	time.Sleep(4 * time.Second)
	d.set(draining.id, draining.address(), "Terminating", 0)
	h.logf("server %s drains (lifecycle Terminating); the watch tells it", draining.id)
	time.Sleep(2 * time.Second)
	if h.trouble {
		d.close(0)
		h.logf("discovery is down")
	}
	time.Sleep(time.Second)
	next := start("new", newAdmin)
	if !awaitReady(newAdmin, upgradeReadyLimit) {
		h.cannotRun("the new process is not ready")
	}
	mu.Lock()
	bindsAt = time.Now().Add(newsBindsAfterYes)
	mu.Unlock()
	h.logf("the new process says yes; news of discovery binds 2 s later")
	old.signal(syscall.SIGTERM)
	select {
	case <-old.done:
	case <-time.After(upgradeKillAfter):
		old.kill()
	}
	time.Sleep(listOutOfReach - upgradeKillAfter - time.Second)
	if next.ended() {
		h.cannotRun("the new process ended")
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	h.logf("%d attempts at the draining server after the grace", late)
}
