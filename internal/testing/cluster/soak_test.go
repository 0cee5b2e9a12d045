package cluster

import (
	"bufio"
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
	soakRelays    = 24
	soakServers   = 10
	soakRate      = 150.0 // requests a second
	soakFor       = 22 * time.Second
	soakFaults    = 9 // faults that go on beside each other
	soakPushEvery = 3 // lists are pushed on each of so many seeds
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
	judge       *Judge
	proxies     []*Proxy // by relay: before discovery
	servers     []*FaultyServer

	serving      []atomic.Bool // by relay: clients may connect
	processFault []atomic.Bool // by relay: a fault of its process goes on
	removed      []atomic.Bool // by server: it is off the list
	faultCounts  sync.Map      // by kind: a *atomic.Int64
}

// newSoak starts the fleet of a seed.
func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	settings := map[string]any{"classes": soakClasses, "balancers": 300}
	pushed := seed%soakPushEvery == 0
	if pushed {
		settings["discovery"] = "push"
	}
	fleet := newCluster(t, Layout{Relays: soakRelays, WithoutMembers: true, Settings: settings}, 0)
	s := &soak{
		Cluster:      fleet,
		pushedLists:  pushed,
		judge:        NewJudge(soakDedupWindow),
		serving:      make([]atomic.Bool, soakRelays),
		processFault: make([]atomic.Bool, soakRelays),
		removed:      make([]atomic.Bool, soakServers),
	}
	for i := range soakServers {
		server, err := NewFaultyServer(fmt.Sprintf("s%d", i))
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
		all = append(all, json.RawMessage(fake.Entry(server.ID, server.Address, "Ready")))
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
		heard = s.judge.DiscoveryLost(i)
	}
	for range 100 {
		if conn, err := net.DialTimeout("tcp", s.Relays[i].Listen, time.Second); err == nil {
			conn.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.serving[i].Store(true)
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

// playFault plays one fault to its end.
func (s *soak) playFault(t *testing.T, rng *rand.Rand) {
	t.Helper()
	draw := func(from, to time.Duration) time.Duration { return drawTime(rng, from, to) }
	relay, server := rng.IntN(soakRelays), rng.IntN(soakServers)
	switch rng.IntN(11) {
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
		force := rng.IntN(2) == 0
		s.restartRelay(t, relay, force, draw(0, time.Second))
	case 8:
		s.pauseRelay(relay, draw(50*time.Millisecond, 140*time.Millisecond))
	case 9:
		s.countFault("reload")
		s.clusterMu.Lock()
		s.Reload(relay)
		s.clusterMu.Unlock()
		time.Sleep(draw(0, 500*time.Millisecond))
	}
}

// discoveryLost records that a relay may not be notified by discovery, and returns what ends that. A relay
// counts as notified of what its own agent has unless the watch is silent: a break does not excuse it.
func (s *soak) discoveryLost(relay int, mode ProxyMode) (end func()) {
	if s.pushedLists && (mode == Down || mode == Broken || mode == Hung) {
		return func() {}
	}
	return s.judge.DiscoveryLost(relay)
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
	if s.removed[i].Swap(true) {
		return
	}
	defer s.removed[i].Store(false)
	s.countFault(lifecycle)
	server := s.servers[i]
	s.Discovery.Set(server.ID, server.Address, lifecycle)
	back := s.judge.RecordAbsence(server.ID)
	if lifecycle == "Gone" {
		server.Reset()
	}
	time.Sleep(length)
	back()
	s.Discovery.Set(server.ID, server.Address, "Ready")
}

// restartRelay ends a relay's process, by force or gracefully, and starts it again after a pause.
func (s *soak) restartRelay(t *testing.T, i int, force bool, pause time.Duration) {
	t.Helper()
	if s.processFault[i].Swap(true) {
		return
	}
	defer s.processFault[i].Store(false)
	s.serving[i].Store(false)
	if force {
		s.countFault("kill")
		dead := s.judge.ProcessDown(i)
		s.clusterMu.Lock()
		s.Kill(i)
		s.clusterMu.Unlock()
		time.AfterFunc(200*time.Millisecond, dead)
	} else {
		s.countFault("leave")
		s.Term(i)
	}
	time.Sleep(pause)
	s.startRelay(t, i)
}

// pauseRelay stops a relay's process for a time, no longer than a process may be held up.
func (s *soak) pauseRelay(i int, length time.Duration) {
	if s.processFault[i].Swap(true) {
		return
	}
	defer s.processFault[i].Store(false)
	s.countFault("held up")
	s.Stop(i)
	time.Sleep(length)
	s.Cont(i)
}

// sendRequest sends one request and records what became of it.
func (s *soak) sendRequest(ctx context.Context, n int, rng *rand.Rand) {
	relay := rng.IntN(soakRelays)
	if !s.serving[relay].Load() {
		return
	}
	class := rng.IntN(len(soakClasses))
	r := Request{ID: fmt.Sprintf("q%d", n), Relay: relay, Idempotency: soakIdempotency[class]}
	defer func() { s.judge.RecordRequest(r) }()
	conn, err := net.DialTimeout("tcp", s.Relays[relay].Listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%d\r\n",
		r.ID, rng.Uint64(), soakClasses[class]["name"], requestDeadline.Milliseconds())
	if !writeInPieces(conn, line, rng) {
		return
	}
	r.Sent = Now()
	waitLimit := requestDeadline + 2*time.Second
	leaves := rng.IntN(8) == 0
	if leaves {
		waitLimit = drawTime(rng, 0, 400*time.Millisecond)
	}
	conn.SetReadDeadline(time.Now().Add(waitLimit))
	in := bufio.NewReader(conn)
	answer, err := in.ReadString('\n')
	r.Answered = Now()
	r.Answer, _, _ = strings.Cut(strings.TrimSpace(answer), " ")
	if leaves && err != nil {
		r.Closed = Now()
		return
	}
	if r.Answer == "UP" {
		conn.SetReadDeadline(time.Now().Add(drawTime(rng, 200*time.Millisecond, 1700*time.Millisecond)))
		for err == nil && ctx.Err() == nil {
			_, err = in.ReadString('\n')
		}
	}
}

// writeInPieces writes a line, one in four with a pause within it, and reports whether all of it was written.
func writeInPieces(conn net.Conn, line string, rng *rand.Rand) bool {
	if rng.IntN(4) == 0 {
		cut := rng.IntN(len(line))
		fmt.Fprint(conn, line[:cut])
		time.Sleep(drawTime(rng, 0, 60*time.Millisecond))
		line = line[cut:]
	}
	_, err := fmt.Fprint(conn, line)
	return err == nil
}

// sendLoad sends requests until the context ends, and waits for the last of them.
func (s *soak) sendLoad(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() / soakRate * float64(time.Second)))
		own := rand.New(rand.NewPCG(seed, uint64(n)+2))
		clients.Go(func() { s.sendRequest(ctx, n, own) })
	}
}

// playFaults plays faults, soakFaults at a time, until the context ends.
func (s *soak) playFaults(ctx context.Context, t *testing.T, seed uint64) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for i := range soakFaults {
		rng := rand.New(rand.NewPCG(seed, 1<<32+uint64(i)))
		faults.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(drawTime(rng, 0, 500*time.Millisecond))
				s.playFault(t, rng)
			}
		})
	}
}

// soakSeeds are the seeds to play: CAPERSAIL_SOAK names the first and how many, as in 100+20.
func soakSeeds(t *testing.T) (first, n uint64) {
	text := os.Getenv("CAPERSAIL_SOAK")
	if text == "" {
		return 1, 1
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
// come back, hang or fail; relays that are killed, leave, are held up or reload; clients that leave. Whatever
// comes together, no rule is broken by what clients and servers saw, and none by the relays' own count.
func TestSoak(t *testing.T) {
	first, n := soakSeeds(t)
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	s := newSoak(t, seed)
	time.Sleep(5 * time.Second) // the relays' first polls are spread
	ctx, stop := context.WithTimeout(t.Context(), soakFor)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.sendLoad(ctx, seed) })
	all.Go(func() { s.playFaults(ctx, t, seed) })
	all.Wait()
	var arrivals []Arrival
	for _, server := range s.servers {
		arrivals = append(arrivals, server.Arrivals()...)
	}
	broken := s.judge.Violations(arrivals)
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
	t.Logf("seed %d: %d requests, %d attempts, %d faults", seed, len(s.judge.requests), len(arrivals), faults)
	if len(s.judge.requests) < 1000 || len(arrivals) < 500 || faults < 20 {
		t.Error("too little happened for a verdict")
	}
}
