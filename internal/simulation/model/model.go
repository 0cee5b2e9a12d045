package model

import (
	"math/rand/v2"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

const ms = time.Millisecond

const (
	loadInterval   = 100 * ms // between two samples of the servers' loads
	reportInterval = 800 * ms // between two load reports of a server
	reportDelay    = 300 * ms // age of a load report when a probe returns it
	// quotaFraction is the sum of the tenants' quotas as a fraction of the capacity of all servers, as on
	// real platforms.
	quotaFraction = 0.8
	startTime     = time.Hour // where the clock starts; servers with StartedAt 0 are long past slow start
)

// Config configures a Fleet.
type Config struct {
	Seed               uint64
	Relays             int
	Servers            int
	Connections        int     // open on average
	Utilisation        float64 // fraction of all servers' capacity that Connections use
	GroupWork          bool    // connections of a group share work on a server
	Peering            bool    // relays run membership and share the probing of servers
	PacketLoss         float64 // fraction of the packets between relays that is lost
	ClockDrift         float64 // greatest error of a relay's clock rate: 0.001 is 1 ms a second
	EstimatePlacements bool    // relays do not share their placements: each estimates those of its peers
	// AdjustSettings, if set, changes the decision module's settings before any relay starts.
	AdjustSettings func(*decide.Settings)
}

// Fleet is a simulated fleet: relays, servers, clients, discovery and the network between them.
type Fleet struct {
	Now     time.Duration
	Relays  []*Relay
	Servers []*Server
	Tally   Tally
	// FrontAdmits, if set, reports whether the load balancer in front of the relays sends clients to a relay.
	FrontAdmits func(*Relay) bool
	// Fatal is called with a description when an invariant of the model is violated.
	Fatal func(what string)

	cfg            Config
	rng            *rand.Rand
	settings       decide.Settings
	sequence       int
	events         eventQueue
	discovery      discovery
	meanLifetime   time.Duration // mean duration of a connection
	connectionLoad float64       // work a second that a connection needs of a server of capacity 1
	groupLoad      float64       // work a second that a group needs once on each server it uses
	groups         int
	lastID         decide.RequestID
	requests       map[decide.RequestID]*client
	network        network
	tables         map[string]*probing.Assignment
}

// New returns a fleet that has not started. The work of a connection is chosen such that Connections use the
// servers up to Utilisation.
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

// StartAll starts all relays with the current endpoint list, opens the configured number of connections and
// starts the arrival of new clients.
func (f *Fleet) StartAll() {
	f.After(0, f.runInterval)
	for _, r := range f.Relays {
		f.StartRelay(r, f.EndpointList())
	}
	f.OpenConnections(f.cfg.Connections, len(f.Servers))
	f.ScheduleArrivals(float64(f.cfg.Connections)/f.meanLifetime.Seconds(), f.Now+time.Hour)
}

// StartIdle starts the clock only: the caller starts relays, connections and clients, and connections last
// for an hour on average.
func (f *Fleet) StartIdle() {
	f.After(0, f.runInterval)
	f.meanLifetime = time.Hour
}

// runInterval samples the servers' loads, ends connections that are due, and adds up connection time on
// overloaded servers.
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
