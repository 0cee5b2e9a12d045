package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newGoldenCourse draws the settings, the servers and the parameters of a course.
func newGoldenCourse(t *testing.T, seed uint64) *goldenCourse {
	c := &goldenCourse{
		t:    t,
		rng:  rand.New(rand.NewPCG(seed, 0x601d)),
		now:  time.Minute,
		hash: 14695981039346656037, // the offset basis of FNV-1a
	}
	c.set = c.drawSettings(seed)
	servers := 1 + c.intN(12)
	if seed%4 == 0 {
		servers = 1 + c.intN(60)
	}
	if seed%40 == 11 { // a pool with more readings than a placement compares
		servers, c.set.GroupAffinity = 300, false
	}
	c.loadPerConn = goldenPick(c, 0.002, 0.02, 0.06)
	c.reportKind = goldenPick(c, 0, 0, 0, 1, 2, 3)
	c.discoveryKind = goldenPick(c, 0, 1, 2)
	c.steps = 1500
	c.meanStepInterval = goldenPick(c, 2*ms, 15*ms, 60*ms, 400*ms)
	c.groups, c.keys = goldenPick(c, 1, 5, 40), goldenPick(c, 3, 200)
	c.unhealthyFraction = goldenPick(c, 0, 0.05, 0.3, 0.8)
	c.meanLife = goldenPick(c, time.Second, 10*time.Second, 200*time.Second)
	c.weights = [goldenStepCount]int{60, 6, 2, 3, 4, 3, 2, 2, 4, 1}
	switch seed % 40 {
	case 11: // a pool that is pruned only at intervals
		c.steps, c.meanStepInterval, c.unhealthyFraction = 3000, 2*ms, 0
		c.weights = [goldenStepCount]int{60, 600, 2, 1, 0, 3, 2, 2, 4, 1}
	case 12: // more failing keys than are stored
		servers, c.steps, c.keys, c.unhealthyFraction = 1, 3500, 1<<40, 1
	case 13: // more groups than cached orders
		servers, c.steps, c.groups, c.set.GroupAffinity, c.set.Probes = 3, 7000, 1<<40, true, true
	case 14: // groups whose order begins with unhealthy servers
		servers, c.groups, c.set.GroupAffinity, c.set.Probes, c.unhealthyFraction = 60, 5, true, true, 1
		c.meanStepInterval, c.weights = 15*ms, [goldenStepCount]int{60, 0, 1, 2, 20, 3, 0, 0, 0, 1}
	}
	minBaseLoad := goldenPick(c, 0, 0.2, 0.5, 0.7, 0.9)
	for i := range servers {
		endpoint := Endpoint{
			Server:        ServerID(i),
			State:         Ready,
			Zone:          Zone(c.intN(max(c.set.Zones, 1))),
			Cell:          int32(i / 2),
			RendezvousKey: c.rng.Uint64(),
		}
		c.servers = append(c.servers, goldenServer{
			endpoint:     endpoint,
			baseLoad:     minBaseLoad + 0.2*c.rng.Float64(),
			probeLatency: goldenPick(c, 2*ms, 2*ms, 8*ms),
		})
	}
	c.b = New(c.set, seed*7919+1)
	return c
}

// goldenClasses returns one class of each kind.
func goldenClasses() []ClassInfo {
	class := func(objective, deadline time.Duration) ClassInfo {
		return ClassInfo{LatencyObjective: objective, Deadline: deadline, PriorityWeight: 1}
	}
	keyed := func(class ClassInfo, scope DedupScope, window time.Duration) ClassInfo {
		class.Idempotency, class.DedupScope, class.DedupWindow = IdempotentWithKey, scope, window
		return class
	}
	idempotent, nonIdempotent := class(300*ms, 2*time.Second), class(300*ms, 2*time.Second)
	idempotent.MessageLatencyObjective = 50 * ms
	nonIdempotent.Idempotency = NonIdempotent
	return []ClassInfo{
		idempotent,
		nonIdempotent,
		keyed(class(200*ms, time.Second), ScopeCell, time.Second),
		keyed(class(500*ms, 4*time.Second), ScopeZone, 3*time.Second),
		keyed(class(250*ms, 2*time.Second), ScopeAll, 200*ms),
	}
}

// drawSettings draws settings, or returns invalid ones.
func (c *goldenCourse) drawSettings(seed uint64) Settings {
	if seed%80 == 79 { // invalid settings
		return Settings{
			RelayIndex:  -3,
			Relays:      -2,
			Zone:        -1,
			Zones:       -4,
			MaxAttempts: -1,
			Probes:      seed%160 == 79,
			Rules:       Rules{SlowStartCapacity: 9, SlowStartWindow: -1},
		}
	}
	relays := goldenPick(c, 1, 2, 3, 10, 40, 80, 300)
	zones := goldenPick(c, 1, 1, 2, 3, 5)
	set := Settings{
		RelayIndex:          c.intN(relays),
		Relays:              relays,
		Zone:                Zone(c.intN(zones)),
		Zones:               zones,
		Classes:             goldenClasses(),
		MaxAttempts:         goldenPick(c, 1, 2, 2, 3, 3),
		Probes:              seed%5 != 4,
		RetryAfter:          c.chance(0.8),
		MaxRetryAfter:       goldenPick(c, 0, time.Second, 5*time.Second),
		ConnectTimeout:      goldenPick(c, 0, 100*ms, 300*ms),
		Tick:                goldenPick(c, 0, ms, 5*ms, 20*ms),
		GroupAffinity:       seed%3 == 0,
		ReportsMessageDelay: c.chance(0.5),
		MustSubscribe:       c.chance(0.6),
		Rules: Rules{
			PollDeadline:      goldenPick(c, 0, 5*time.Second, 10*time.Second),
			SlowStartCapacity: goldenPick(c, 0, 0.1, 0.25),
			SlowStartWindow:   goldenPick(c, 0, 2*time.Second, 8*time.Second, 20*time.Second),
			OverloadFactor:    goldenPick(c, 2.0, 3.0),
			OverloadWindow:    goldenPick(c, 0, time.Second, 3*time.Second),
		},
		Prices: Prices{CrossZone: goldenPick(c, 0, 0.05, 0.5), Probe: 0.002,
			Migration: 0.02},
		OverQuotaPriorityWeight: 0.5,
	}
	for range goldenPick(c, 0, 1, 2, 4) {
		set.Tenants = append(set.Tenants, TenantInfo{
			ServiceShare: 0.25, ConnectionQuota: goldenPick(c, 0, 40.0, 500.0, 20000.0),
		})
	}
	return set
}

// drawRequest draws a request and stores it in the course.
func (c *goldenCourse) drawRequest(key uint64, returned bool) Request {
	r := Request{
		ID: RequestID(len(c.conns) + 1), Class: Class(c.intN(5)), Tenant: Tenant(c.intN(5) - 1),
		Key: key, LoadHint: c.rng.Float64(), Returning: returned, ExistingFlow: c.chance(0.1),
		TimeLeft: goldenPick(c, 2*time.Second, 2*time.Second, time.Second, c.upTo(300*ms), 4*time.Second),
	}
	if key == 0 && c.chance(0.7) {
		r.Key = 1 + c.rng.Uint64N(uint64(c.keys))
	}
	if c.chance(0.8) {
		r.Group = 1 + c.rng.Uint64N(uint64(c.groups))
	}
	c.conns = append(c.conns, goldenConn{request: r})
	return r
}

func (c *goldenCourse) inherit() {
	r := c.drawRequest(0, false)
	on := c.anyServer()
	conn := c.conn(r.ID)
	conn.server, conn.open, conn.attempts = int(on), true, 1
	c.servers[on].open++
	c.handle(Inherited{Request: r, Server: on})
	c.scheduleEvent(c.upTo(2*c.meanLife),
		Outcome{ID: r.ID, Server: on, Status: OK, Closed: true, Report: NoLoadReport})
}

func (c *goldenCourse) drawGossip() GossipReading {
	gossip := GossipReading{Server: c.anyServer(), Age: c.upTo(1500 * ms), Report: NoLoadReport}
	switch {
	case c.chance(0.7):
		gossip.Report = c.report(&c.servers[gossip.Server])
	case c.chance(0.05):
		gossip.PlacementDelta = 700
	default:
		gossip.PlacementDelta = c.intN(7) - 3
	}
	return gossip
}

func (c *goldenCourse) drawFleet() FleetStatus {
	f := FleetStatus{
		Relays:            goldenPick(c, 0, 1, 2, 9, 80, 300),
		BudgetShare:       c.rng.Float64(),
		FarBudgetShare:    c.rng.Float64() / 10,
		PeerRequestRate:   goldenPick(c, -1, 0, 20*c.rng.Float64(), 300),
		PeerConnections:   goldenPick(c, -1, 0, c.intN(2000)),
		PeerMigrationRate: goldenPick(c, 0, 0, 5*c.rng.Float64()),
		SharesReadings:    c.chance(0.5),
		SharesPlacements:  c.chance(0.5),
	}
	if c.chance(0.3) {
		f.BudgetExpiresAt = c.now + c.upTo(5*time.Second)
	}
	if c.chance(0.4) {
		f.NearZones = []Zone{}
		for z := range c.set.Zones {
			if c.chance(0.5) {
				f.NearZones = append(f.NearZones, Zone(z))
			}
		}
	}
	return f
}
