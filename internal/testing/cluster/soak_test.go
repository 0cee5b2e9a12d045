package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/testing/fake"
)

const (
	soakRelays           = 24
	soakServers          = 10
	soakRate             = 150.0 // requests a second
	soakDuration         = 22 * time.Second
	soakConcurrentFaults = 9 // faults that go on beside each other
	// Each of so many seeds has pushed lists, a crowd, and relays that know each other.
	soakPushSeedInterval       = 3
	soakBurstSeedInterval      = 4
	soakMembershipSeedInterval = 5
	// soakDedupWindow is for how long servers recognize a repeat of the class guarded.
	soakDedupWindow = 1200 * time.Millisecond
)

// soakClasses have every idempotency, as soakIdempotency says. The seed draws which a request is of.
var soakClasses = []map[string]any{
	{"name": "free", "semantics": "free", "aimMs": 400, "deadlineMs": 2000, "worth": 3},
	{
		"name": "guarded", "semantics": "guarded", "group": "all", "windowMs": soakDedupWindow.Milliseconds(),
		"aimMs": 400, "deadlineMs": 2000, "worth": 3,
	},
	{"name": "once", "semantics": "single_shot", "aimMs": 400, "deadlineMs": 2000, "worth": 3},
}

var soakIdempotency = []decide.Idempotency{decide.Idempotent, decide.IdempotentWithKey, decide.NonIdempotent}

// soak is one run: a fleet, its clients and the faults, drawn from a seed.
type soak struct {
	*Cluster
	clusterMu sync.Mutex // Cluster is not safe for concurrent use

	pushedLists bool // lists come from an agent of each relay's own
	checker     *Checker
	proxies     []*Proxy // by relay: before discovery
	servers     []*FaultyServer

	acceptsClients []atomic.Bool // by relay: clients may connect
	processFault   []atomic.Bool // by relay: a fault of its process goes on
	serverRemoved  []atomic.Bool // by server: it is off the list
	faultCounts    sync.Map      // by kind: a *atomic.Int64
}

// newSoak starts the fleet of a seed.
func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	settings := map[string]any{"classes": soakClasses, "balancers": 300}
	pushed := seed%soakPushSeedInterval == 0
	if pushed {
		settings["discovery"] = "push"
	}
	fleet := newCluster(t, Layout{
		Relays:            soakRelays,
		WithoutMembership: seed%soakMembershipSeedInterval != 0,
		IgnoreHangup:      true,
		Settings:          settings,
	}, 0)
	s := &soak{
		Cluster:        fleet,
		pushedLists:    pushed,
		checker:        NewChecker(soakDedupWindow),
		acceptsClients: make([]atomic.Bool, soakRelays),
		processFault:   make([]atomic.Bool, soakRelays),
		serverRemoved:  make([]atomic.Bool, soakServers),
	}
	attempts := &attemptLog{attempts: map[string][]loggedAttempt{}}
	for i := range soakServers {
		server, err := NewFaultyServer(fmt.Sprintf("s%d", i), attempts)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		s.servers = append(s.servers, server)
		fleet.Discovery.Set(server.ID, server.Address, "Ready")
	}
	known := map[string]any{"generation": 1, "reset": true, "instances": readyServers(s.servers)}
	for i := range soakRelays { // each process starts with this list, however old it is by then
		if err := fleet.Reconfigure(i, map[string]any{"known": known}); err != nil {
			t.Fatal(err)
		}
		s.proxies = append(s.proxies, proxyDiscovery(t, fleet, i))
		s.startRelay(t, i)
	}
	return s
}

// readyServers returns the endpoint list's entries while all servers are ready.
func readyServers(servers []*FaultyServer) (all []json.RawMessage) {
	for _, server := range servers {
		all = append(all, json.RawMessage(fake.EndpointJSON(server.ID, server.Address, "Ready")))
	}
	return all
}

// startRelay starts a relay's process and lets clients come once it answers.
func (s *soak) startRelay(t *testing.T, i int) {
	s.clusterMu.Lock()
	err := s.Start(i)
	s.clusterMu.Unlock()
	if err != nil {
		t.Error(err)
		return
	}
	heard := func() {}
	if !s.pushedLists { // its first poll has an offset; a watch of its own agent is opened at once
		heard = s.checker.BeginDiscoveryLoss(i)
	}
	for range 100 {
		if conn, err := net.DialTimeout("tcp", s.Relays[i].Listen, time.Second); err == nil {
			conn.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.acceptsClients[i].Store(true)
	time.AfterFunc(10*time.Second, heard)
}

// countFault counts a fault of a kind.
func (s *soak) countFault(kind string) {
	n, _ := s.faultCounts.LoadOrStore(kind, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// drawTime draws a time between two.
func drawTime(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(float64(to-from)*rng.Float64())
}

// soakSeeds are the seeds to play: CAPERSAIL_SOAK names the first and how many, as in 100+20. Without it they are
// one with everything, and one with lists that are asked for and no crowd.
func soakSeeds(t *testing.T) (first, n uint64) {
	text := os.Getenv("CAPERSAIL_SOAK")
	if text == "" {
		return 60, 2
	}
	from, count, _ := strings.Cut(text, "+")
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	if n, err = strconv.ParseUint(count, 10, 64); err != nil {
		n = 1
	}
	return first, n
}

// A few dozen processes under faults that are drawn from a seed and overlap: discovery that falls silent,
// trickles, is down, hangs or breaks off, and on each third seed pushes its lists; servers that leave, die,
// come back, hang or fail; relays that are killed, leave, are held up or reload, by signals in series and in
// their first moments; clients that leave, use their connections to the end, or come in a crowd; and on each
// fifth seed relays that know each other. Whatever comes together, no rule is broken by what clients and
// servers saw, and none by the relays' own count.
func TestSoak(t *testing.T) {
	first, n := soakSeeds(t)
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	t.Logf("this seed alone: CAPERSAIL_SOAK=%d go test -race ./internal/testing/cluster -run 'TestSoak$' -v", seed)
	s := newSoak(t, seed)
	time.Sleep(5 * time.Second) // the relays' first polls are spread
	ctx, stop := context.WithTimeout(t.Context(), soakDuration)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.sendLoad(ctx, seed) })
	all.Go(func() { s.injectFaults(ctx, t, seed) })
	if seed%soakBurstSeedInterval == 0 {
		all.Go(func() { s.sendBurst(ctx, seed) })
	}
	all.Wait()
	var arrivals []Arrival
	for _, server := range s.servers {
		arrivals = append(arrivals, server.Arrivals()...)
	}
	if !s.WithoutMembership { // newCluster checks the shares of the whole run
		await(t, waitLimit(), "the shares are at their targets again", s.checkSettled)
	}
	broken := s.checker.Violations(arrivals)
	for i, text := range broken {
		if i == 12 {
			t.Errorf("and %d more", len(broken)-i)
			break
		}
		t.Error(text)
	}
	for _, r := range s.Relays {
		if text := r.Log(); strings.Contains(text, "invariant violated") || strings.Contains(text, "panic") {
			t.Errorf("%s counts a violation of its own", r.Name)
		}
	}
	faults := 0
	s.faultCounts.Range(func(kind, n any) bool {
		faults += int(n.(*atomic.Int64).Load())
		t.Logf("%s: %d", kind, n.(*atomic.Int64).Load())
		return true
	})
	t.Logf("seed %d: %d requests, %d attempts, %d streams, %d faults",
		seed, len(s.checker.requests), len(arrivals), len(s.checker.streams), faults)
	if len(s.checker.requests) < 1000 || len(arrivals) < 500 || faults < 20 {
		t.Error("too little happened for a verdict")
	}
}
