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
	soakRelays  = 24
	soakTargets = 10
	soakRate    = 150.0 // requests a second
	soakFor     = 22 * time.Second
	soakWindow  = 1200 // ms in which targets know a repeat of the guarded class again
	soakFaults  = 9    // faults that go on beside each other
	soakPushed  = 3    // lists are pushed on each of so many seeds
)

// soakClasses have every effect. The seed draws which a request is of.
var soakClasses = []map[string]any{
	{"name": "free", "semantics": "free", "aimMs": 400, "deadlineMs": 2000, "worth": 3},
	{"name": "guarded", "semantics": "guarded", "group": "all", "windowMs": soakWindow, "aimMs": 400, "deadlineMs": 2000, "worth": 3},
	{"name": "once", "semantics": "single_shot", "aimMs": 400, "deadlineMs": 2000, "worth": 3},
}

// soak is one run: a fleet, its clients and the faults, drawn from a seed.
type soak struct {
	*Cluster
	pushed  bool // lists come from an agent of each relay's own
	judge   *Judge
	proxies []*Proxy
	targets []*Target
	serves  []atomic.Bool // whether clients may come to a relay
	busy    []atomic.Bool // a fault of the relay's process is on
	away    []atomic.Bool // a target is off the list
	seen    sync.Map      // how many faults of each kind there were
	control sync.Mutex    // of the Ground, which is not safe for use by many
}

func newSoak(t *testing.T, seed uint64) *soak {
	settings := map[string]any{"classes": soakClasses, "balancers": 300}
	pushed := seed%soakPushed == 0
	if pushed {
		settings["discovery"] = "push"
	}
	g := lay(t, Plan{Relays: soakRelays, Alone: true, Settings: settings}, 0)
	s := &soak{Cluster: g, pushed: pushed, judge: NewJudge(soakWindow), serves: make([]atomic.Bool, soakRelays), busy: make([]atomic.Bool, soakRelays),
		away: make([]atomic.Bool, soakTargets)}
	for i := range soakTargets {
		target, err := NewTarget(fmt.Sprintf("s%d", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.Close)
		s.targets = append(s.targets, target)
		g.Discovery.Set(target.ID, target.Address, "Ready")
	}
	known := map[string]any{"generation": 1, "reset": true, "instances": readyTargets(s.targets)}
	for i := range soakRelays { // each process starts with this list, however old it is by then
		if err := g.Reconfigure(i, map[string]any{"known": known}); err != nil {
			t.Fatal(err)
		}
		s.proxies = append(s.proxies, before(t, g, i))
		s.start(t, i)
	}
	return s
}

// readyTargets is the list of the targets as all of them are ready.
func readyTargets(targets []*Target) (all []json.RawMessage) {
	for _, target := range targets {
		all = append(all, json.RawMessage(fake.Entry(target.ID, target.Address, "Ready")))
	}
	return all
}

// start starts a relay's process and lets clients come once it answers.
func (s *soak) start(t *testing.T, i int) {
	s.control.Lock()
	err := s.Start(i)
	s.control.Unlock()
	if err != nil {
		t.Error(err)
		return
	}
	heard := func() {}
	if !s.pushed { // its first call has its turn; a watch of its own agent is opened at once
		heard = s.judge.Deaf(i)
	}
	for range 100 {
		if conn, err := net.DialTimeout("tcp", s.Relays[i].Listen, time.Second); err == nil {
			conn.Close()
			break
		}
		wait(20)
	}
	s.serves[i].Store(true)
	time.AfterFunc(10*time.Second, heard)
}

// count notes a fault.
func (s *soak) count(kind string) {
	n, _ := s.seen.LoadOrStore(kind, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// fault plays one fault to its end.
func (s *soak) fault(t *testing.T, rng *rand.Rand) {
	ms := func(from, to float64) float64 { return from + (to-from)*rng.Float64() }
	relay, target := rng.IntN(soakRelays), rng.IntN(soakTargets)
	switch rng.IntN(11) {
	case 0, 1, 2:
		s.deafen(relay, []ProxyMode{Silent, Trickle, Down, Broken, Hung}[rng.IntN(5)], ms(500, 9000))
	case 3, 4, 5:
		s.remove(target, []string{"Gone", "Terminating"}[rng.IntN(2)], ms(500, 15_000))
	case 6:
		s.count("target fails")
		s.targets[target].Set(TargetMode(1 + rng.IntN(int(targets)-1)))
		wait(ms(300, 4000))
		s.targets[target].Set(Takes)
	case 7, 10:
		s.restart(t, relay, rng.IntN(2) == 0, ms(0, 1000))
	case 8:
		s.hold(relay, ms(50, 140))
	case 9:
		s.count("reload")
		s.control.Lock()
		s.Hup(relay)
		s.control.Unlock()
		wait(ms(0, 500))
	}
}

// disturbed tells the judge that a relay may not hear discovery, and returns what ends that. What a relay's own agent has counts as told
// unless the watch is silent: a break does not excuse it.
func (s *soak) disturbed(relay int, mode ProxyMode) (end func()) {
	if s.pushed && (mode == Down || mode == Broken || mode == Hung) {
		return func() {}
	}
	return s.judge.Deaf(relay)
}

// deafen disturbs a relay's way to discovery. Its next call may be late by what calls that hang and a back-off take.
func (s *soak) deafen(relay int, mode ProxyMode, ms float64) {
	s.count("deaf")
	heard := s.disturbed(relay, mode)
	s.proxies[relay].Set(mode)
	wait(ms)
	s.proxies[relay].Set(Pass)
	time.AfterFunc(14*time.Second, heard)
}

// remove takes a target off the list for a while; one that is gone has died.
func (s *soak) remove(i int, lifecycle string, ms float64) {
	if s.away[i].Swap(true) {
		return
	}
	defer s.away[i].Store(false)
	s.count(lifecycle)
	target := s.targets[i]
	s.Discovery.Set(target.ID, target.Address, lifecycle)
	back := s.judge.Leaves(target.ID)
	if lifecycle == "Gone" {
		target.Reset()
	}
	wait(ms)
	back()
	s.Discovery.Set(target.ID, target.Address, "Ready")
}

// restart ends a relay's process, by force or in order, and starts it anew.
func (s *soak) restart(t *testing.T, i int, force bool, pause float64) {
	if s.busy[i].Swap(true) {
		return
	}
	defer s.busy[i].Store(false)
	s.serves[i].Store(false)
	if force {
		s.count("kill")
		dead := s.judge.Dead(i)
		s.control.Lock()
		s.Kill(i)
		s.control.Unlock()
		time.AfterFunc(200*time.Millisecond, dead)
	} else {
		s.count("leave")
		s.Term(i)
	}
	wait(pause)
	s.start(t, i)
}

// hold stops a relay's process for as long as one may be held up.
func (s *soak) hold(i int, ms float64) {
	if s.busy[i].Swap(true) {
		return
	}
	defer s.busy[i].Store(false)
	s.count("held up")
	s.Stop(i)
	wait(ms)
	s.Cont(i)
}

// client sends one request and tells the judge what became of it.
func (s *soak) client(ctx context.Context, n int, rng *rand.Rand) {
	relay := rng.IntN(soakRelays)
	if !s.serves[relay].Load() {
		return
	}
	class := rng.IntN(len(soakClasses))
	r := Request{ID: fmt.Sprintf("q%d", n), Relay: relay, Effect: []decide.Idempotency{decide.Idempotent, decide.IdempotentWithKey, decide.NonIdempotent}[class]}
	defer func() { s.judge.Asked(r) }()
	conn, err := net.DialTimeout("tcp", s.Relays[relay].Listen, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	line := fmt.Sprintf("OPEN %s %x c=%s,t=acme,d=%.0f\r\n", r.ID, rng.Uint64(), soakClasses[class]["name"], clientPatience)
	if rng.IntN(4) == 0 { // in pieces
		cut := rng.IntN(len(line))
		fmt.Fprint(conn, line[:cut])
		wait(60 * rng.Float64())
		line = line[cut:]
	}
	if _, err := fmt.Fprint(conn, line); err != nil {
		return
	}
	r.Sent = Now()
	patience := clientPatience + 2000
	leaves := rng.IntN(8) == 0
	if leaves {
		patience = 400 * rng.Float64()
	}
	conn.SetReadDeadline(time.Now().Add(time.Duration(patience * float64(time.Millisecond))))
	in := bufio.NewReader(conn)
	answer, err := in.ReadString('\n')
	r.Answered = Now()
	r.Answer, _, _ = strings.Cut(strings.TrimSpace(answer), " ")
	if leaves && err != nil {
		r.Closed = Now()
		return
	}
	if r.Answer == "UP" {
		conn.SetReadDeadline(time.Now().Add(time.Duration((200 + 1500*rng.Float64()) * float64(time.Millisecond))))
		for err == nil && ctx.Err() == nil {
			_, err = in.ReadString('\n')
		}
	}
}

// load brings requests until the context ends, and waits for the last of them.
func (s *soak) load(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var clients sync.WaitGroup
	defer clients.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		wait(rng.ExpFloat64() / soakRate * 1000)
		own := rand.New(rand.NewPCG(seed, uint64(n)+2))
		clients.Go(func() { s.client(ctx, n, own) })
	}
}

// play lets faults overlap until the context ends.
func (s *soak) play(ctx context.Context, t *testing.T, seed uint64) {
	var faults sync.WaitGroup
	defer faults.Wait()
	for i := range soakFaults {
		rng := rand.New(rand.NewPCG(seed, 1<<32+uint64(i)))
		faults.Go(func() {
			for ctx.Err() == nil {
				wait(500 * rng.Float64())
				s.fault(t, rng)
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

// A few dozen processes under faults that are drawn from a seed and overlap: discovery that falls silent, trickles, is down, hangs or breaks
// off, and on each third seed pushes its lists; servers that leave, die, come back, hang or fail; relays that are killed, leave, are held up or reload; clients that leave.
// Whatever comes together, no rule is broken by what clients and servers saw, and none by the relays' own count.
func TestSoak(t *testing.T) {
	first, n := soakSeeds(t)
	for seed := first; seed < first+n; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakOnce(t, seed) })
	}
}

func soakOnce(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	wait(5000) // the relays' first calls are spread
	ctx, stop := context.WithTimeout(t.Context(), soakFor)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { s.load(ctx, seed) })
	all.Go(func() { s.play(ctx, t, seed) })
	all.Wait()
	var arrivals []Arrival
	for _, target := range s.targets {
		arrivals = append(arrivals, target.Arrivals()...)
	}
	broken := s.judge.Verdict(arrivals)
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
	s.seen.Range(func(kind, n any) bool {
		faults += int(n.(*atomic.Int64).Load())
		t.Logf("%s: %d", kind, n.(*atomic.Int64).Load())
		return true
	})
	t.Logf("seed %d: %d requests, %d attempts, %d faults", seed, len(s.judge.requests), len(arrivals), faults)
	if len(s.judge.requests) < 1000 || len(arrivals) < 500 || faults < 20 {
		t.Error("too little happened for a verdict")
	}
}
