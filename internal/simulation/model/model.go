package model

import (
	"math/rand/v2"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

const ms = time.Millisecond

const (
	loadInterval   = 100 * ms // loads are noted this often
	reportInterval = 800 * ms // and reported this often
	reportDelay    = 300 * ms // this late
	// quotaPart is the part of all servers' capacity that the tenants' quotas add up to, as platforms
	// have it.
	quotaFraction = 0.8
	startTime     = time.Hour // long ago is the beginning of the clock
)

// Config says what a Fleet is made of.
type Config struct {
	Seed            uint64
	Relays          int
	Servers         int
	Connections     int     // that are open in the long run
	Utilisation     float64 // of all servers' capacity that these fill
	GroupWork       bool    // connections of a group share work
	Peering         bool    // relays know each other, and share the probing of servers
	PacketLoss      float64 // part of the packets between relays that is lost
	ClockDrift      float64 // how fast or slow relays' clocks run at most: 0.001 is 1 ms a second
	GuessPlacements bool    // relays do not tell what they send to servers: it is guessed
	// Tune changes the module's settings, before any relay starts.
	AdjustSettings func(*decide.Settings)
}

// Fleet is a simulated fleet: relays, servers, clients, discovery and the network between them.
type Fleet struct {
	Now     time.Duration
	Relays  []*Relay
	Servers []*Server
	Tally   Tally
	// FrontAllows, if set, says whether the front sends a relay a client.
	FrontAdmits func(*Relay) bool
	// Fatal is called with what must never happen.
	Fatal func(what string)

	cfg            Config
	rng            *rand.Rand
	settings       decide.Settings
	sequence       int
	events         eventQueue
	discovery      discovery
	meanLifetime   time.Duration // mean life of a connection
	connectionLoad float64       // work a second that a connection asks of a server that does 1 a second
	groupLoad      float64       // and what its group asks once on each server that holds any of it
	groups         int
	lastID         decide.RequestID
	requests       map[decide.RequestID]*client
	network        network
	tables         map[string]*probing.Assignment
}

// New returns a fleet that has not started. Loads are such that its Connections use the servers up to the
// Utilisation.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg: cfg, Now: startTime, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		meanLifetime:   40 * time.Second,
		connectionLoad: cfg.Utilisation * float64(cfg.Servers) / float64(cfg.Connections),
		groups:         max(2, cfg.Connections/15),
		discovery:      discovery{serviceTime: 70 * ms, callTimeout: time.Second},
		Tally:          Tally{Counts: map[string]int{}},
		requests:       map[decide.RequestID]*client{},
		tables:         map[string]*probing.Assignment{},
		Fatal:          func(what string) { panic(what) },
	}
	f.settings = decide.Settings{
		Relays: cfg.Relays, Zones: 3, MaxAttempts: 6, Probes: true, RetryAfter: true,
		MaxRetryAfter:  1500 * ms,
		ConnectTimeout: 150 * ms, Tick: 5 * ms, GroupAffinity: cfg.GroupWork, MustSubscribe: true,
		Classes: []decide.ClassInfo{{
			LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1,
			MessageLatencyObjective: 50 * ms,
		}},
		Tenants: []decide.TenantInfo{{ServiceShare: 0.5}, {ServiceShare: 0.5}},
		Rules: decide.Rules{
			PollDeadline: 10 * time.Second, SlowStartCapacity: 0.36, SlowStartWindow: 8 * time.Second,
			OverloadFactor: 4, OverloadWindow: 1500 * ms,
		},
		Prices: decide.Prices{CrossZone: 0.03, Probe: 0.002, Migration: 0.02},
	}
	for i := range f.settings.Tenants {
		f.settings.Tenants[i].ConnectionQuota = float64(cfg.Connections) / cfg.Utilisation * quotaFraction / 2
	}
	if cfg.AdjustSettings != nil {
		cfg.AdjustSettings(&f.settings)
	}
	for i := range cfg.Servers {
		f.AddServer(decide.Zone(i%3), 0)
	}
	f.network = network{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
	for range cfg.Relays {
		f.AddRelay()
	}
	return f
}

// Begin starts all relays with the list as it is, opens the connections that stood before and lets new
// ones come.
func (f *Fleet) StartAll() {
	f.After(0, f.runInterval)
	for _, r := range f.Relays {
		f.StartRelay(r, f.EndpointList())
	}
	f.OpenConnections(f.cfg.Connections, len(f.Servers))
	f.ScheduleArrivals(float64(f.cfg.Connections)/f.meanLifetime.Seconds(), f.Now+time.Hour)
}

// BeginIdle starts time only: relays, connections and clients are the caller's to bring, connections last
// for good.
func (f *Fleet) StartIdle() {
	f.After(0, f.runInterval)
	f.meanLifetime = time.Hour
}

// runInterval notes loads, ends connections whose time has come, and counts connection time on overloaded
// servers.
func (f *Fleet) runInterval() {
	loads := make([]float64, len(f.Servers))
	for i, s := range f.Servers {
		loads[i] = f.Utilisation(s)
		f.Tally.ServedTime += loadInterval * time.Duration(len(s.connections))
		if loads[i] > 1 {
			f.Tally.OverloadedTime += loadInterval * time.Duration(len(s.connections))
		}
	}
	for _, c := range f.sortedClients() {
		if s := c.server; s != nil && s.connections[c] && f.Now >= c.endsAt {
			f.closeConnection(c, decide.OK)
		}
	}
	for i, s := range f.Servers {
		s.loadHistory = append(s.loadHistory, loads[i])
	}
	if f.cfg.Peering {
		f.recordBudgetShares()
	}
	f.After(loadInterval, f.runInterval)
}

func (f *Fleet) count(what string) { f.Tally.Counts[what]++ }
