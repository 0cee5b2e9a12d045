package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

// sigkillMargin is how long after the longest deadline SIGKILL may come to a process that was told to leave.
const sigkillMargin = 700 * time.Millisecond

// injectFault plays one fault to its end.
func (s *soak) injectFault(t *testing.T, rng *rand.Rand) {
	t.Helper()
	draw := func(from, to time.Duration) time.Duration { return drawTime(rng, from, to) }
	relay, server := rng.IntN(soakRelays), rng.IntN(soakServers)
	switch rng.IntN(12) {
	case 0, 1, 2:
		mode := []ProxyMode{Silent, Trickle, Down, Broken, Hung}[rng.IntN(5)]
		s.disturbDiscovery(relay, mode, draw(500*time.Millisecond, 9*time.Second))
	case 3, 4, 5:
		lifecycle := []string{"Gone", "Terminating"}[rng.IntN(2)]
		s.removeServer(server, lifecycle, draw(500*time.Millisecond, 15*time.Second))
	case 6:
		s.countFault("server fails")
		s.servers[server].SetMode(ServerMode(1 + rng.IntN(int(serverModes)-1)))
		time.Sleep(draw(300*time.Millisecond, 4*time.Second))
		s.servers[server].SetMode(Accept)
	case 7, 10:
		s.restartRelay(t, relay, rng)
	case 8:
		s.pauseRelay(relay, draw(50*time.Millisecond, 140*time.Millisecond))
	case 9:
		s.reloadRelay(relay, rng)
	case 11:
		s.changeDuringReloads(relay, server, rng)
	}
}

// discoveryLost records that a relay may not be notified by discovery, and returns what ends that. A relay
// counts as notified of what its own agent has unless the watch is silent: a break does not excuse it.
func (s *soak) discoveryLost(relay int, mode ProxyMode) (end func()) {
	if s.pushedLists && (mode == Down || mode == Broken || mode == Hung) {
		return func() {}
	}
	return s.checker.BeginDiscoveryLoss(relay)
}

// disturbDiscovery disturbs a relay's connections to discovery for a time. Its next poll may be late by what
// polls that hang and a backoff take.
func (s *soak) disturbDiscovery(relay int, mode ProxyMode, length time.Duration) {
	s.countFault("discovery disturbed")
	heard := s.discoveryLost(relay, mode)
	s.proxies[relay].SetMode(mode)
	time.Sleep(length)
	s.proxies[relay].SetMode(Pass)
	time.AfterFunc(14*time.Second, heard)
}

// removeServer takes a server off the endpoint list for a time; one that is gone has died.
func (s *soak) removeServer(i int, lifecycle string, length time.Duration) {
	if s.serverRemoved[i].Swap(true) {
		return
	}
	defer s.serverRemoved[i].Store(false)
	s.countFault(lifecycle)
	server := s.servers[i]
	s.Discovery.Set(server.ID, server.Address, lifecycle)
	back := s.checker.BeginAbsence(server.ID)
	if lifecycle == "Gone" {
		server.Reset()
	}
	time.Sleep(length)
	back()
	s.Discovery.Set(server.ID, server.Address, "Ready")
}

// shutdownSignals are the series of signals that a relay is told to leave with. What comes after the first
// SIGTERM changes nothing.
var shutdownSignals = [][]syscall.Signal{
	{syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT},
	{syscall.SIGSTOP, syscall.SIGTERM, syscall.SIGCONT},
}

// restartRelay ends a relay's process, by force or gracefully, and starts it again after a pause.
func (s *soak) restartRelay(t *testing.T, i int, rng *rand.Rand) {
	t.Helper()
	if s.processFault[i].Swap(true) {
		return
	}
	defer s.processFault[i].Store(false)
	if rng.IntN(2) == 0 {
		s.killRelay(i)
	} else {
		s.shutDownRelay(t, i, rng)
	}
	time.Sleep(drawTime(rng, 0, time.Second))
	s.startRelay(t, i)
	if rng.IntN(4) == 0 {
		s.signalDuringStart(t, i, rng)
	}
}

// killRelay ends a relay's process by force.
func (s *soak) killRelay(i int) {
	s.acceptsClients[i].Store(false)
	s.countFault("kill")
	dead := s.checker.BeginProcessDown(i)
	s.clusterMu.Lock()
	s.Kill(i)
	s.clusterMu.Unlock()
	time.AfterFunc(200*time.Millisecond, dead)
}

// shutDownRelay has a relay's process shut down gracefully, by a series of signals. Clients come for a while
// yet and use their connections to the end, and SIGKILL comes at the earliest.
func (s *soak) shutDownRelay(t *testing.T, i int, rng *rand.Rand) {
	t.Helper()
	s.countFault("leave")
	for _, signal := range shutdownSignals[rng.IntN(len(shutdownSignals))] {
		s.Signal(i, signal)
		time.Sleep(drawTime(rng, 0, 30*time.Millisecond))
	}
	toldAt := time.Now()
	time.AfterFunc(drawTime(rng, 200*time.Millisecond, 400*time.Millisecond),
		func() { s.acceptsClients[i].Store(false) })
	if !s.AwaitExit(i, time.Until(toldAt.Add(requestDeadline+sigkillMargin))) {
		t.Errorf("relay %d was still running at SIGKILL", i)
	}
	s.acceptsClients[i].Store(false)
}

// signalDuringStart restarts a relay, and sends it signals in the first milliseconds of its process: SIGHUP
// changes nothing, SIGTERM ends it, whatever it has done till then.
func (s *soak) signalDuringStart(t *testing.T, i int, rng *rand.Rand) {
	t.Helper()
	s.killRelay(i)
	s.countFault("signals during start")
	s.clusterMu.Lock()
	err := s.Start(i)
	s.clusterMu.Unlock()
	if err != nil {
		t.Error(err)
		return
	}
	s.AwaitExec(i)
	time.Sleep(drawTime(rng, 0, 8*time.Millisecond))
	for range 1 + rng.IntN(3) {
		s.Signal(i, syscall.SIGHUP)
	}
	if rng.IntN(2) == 0 {
		s.Signal(i, syscall.SIGTERM)
		if !s.AwaitExit(i, requestDeadline+sigkillMargin) {
			t.Errorf("relay %d did not end by SIGTERM during its start", i)
		}
	}
	s.startRelay(t, i)
}

// reloadRelay has a relay read its files again, once or several times at once.
func (s *soak) reloadRelay(i int, rng *rand.Rand) {
	if s.processFault[i].Swap(true) {
		return
	}
	defer s.processFault[i].Store(false)
	s.countFault("reload")
	for range 1 + rng.IntN(3) {
		s.Signal(i, syscall.SIGHUP)
		time.Sleep(drawTime(rng, 0, 100*time.Millisecond))
	}
}

// changeDuringReloads reloads a relay several times while the endpoint list changes.
func (s *soak) changeDuringReloads(relay, server int, rng *rand.Rand) {
	s.countFault("change during reloads")
	var reloads sync.WaitGroup
	own := rand.New(rand.NewPCG(rng.Uint64(), 1))
	reloads.Go(func() { s.reloadRelay(relay, own) })
	s.removeServer(server, "Terminating", drawTime(rng, 300*time.Millisecond, 3*time.Second))
	reloads.Wait()
}

// pauseRelay stops a relay's process for a time, no longer than a process may be held up.
func (s *soak) pauseRelay(i int, length time.Duration) {
	if s.processFault[i].Swap(true) {
		return
	}
	defer s.processFault[i].Store(false)
	s.countFault("held up")
	s.Suspend(i)
	time.Sleep(length)
	s.Resume(i)
}

// injectFaults plays faults, soakFaults at a time, until the context ends.
func (s *soak) injectFaults(ctx context.Context, t *testing.T, seed uint64) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for i := range soakConcurrentFaults {
		rng := rand.New(rand.NewPCG(seed, 1<<32+uint64(i)))
		faults.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(drawTime(rng, 0, 500*time.Millisecond))
				s.injectFault(t, rng)
			}
		})
	}
}
