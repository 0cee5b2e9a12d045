package decide

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// goldenServer is a simulated server.
type goldenServer struct {
	endpoint     Endpoint
	baseLoad     float64 // load without the connections of this relay
	probeLatency time.Duration
	health       goldenHealth
	open         int
}

type goldenHealth int

const (
	goldenHealthy goldenHealth = iota
	goldenDead
	goldenErroring
	goldenSilent
	goldenFull
	goldenWithoutReports // answers probes without load reports
	goldenHealthCount
)

type goldenConn struct {
	request  Request
	attempts int
	server   int
	open     bool
	done     bool
}

type goldenEvent struct {
	at time.Duration
	ev Event
}

// goldenCourse plays one random sequence of events to one Balancer and hashes its actions and views.
type goldenCourse struct {
	t                 *testing.T
	rng               *rand.Rand
	set               Settings
	b                 *Balancer
	now               time.Duration
	queue             []goldenEvent // in the order in which they are due
	scheduledEvents   int           // number of events scheduled so far
	servers           []goldenServer
	conns             []goldenConn // by request ID minus 1
	steps             int
	meanStepInterval  time.Duration
	weights           [goldenStepCount]int // relative frequency of each kind of step
	groups            int
	keys              int
	unhealthyFraction float64 // probability that a health change makes a server unhealthy
	meanLife          time.Duration
	loadPerConn       float64
	reportKind        int // what servers report: 0 everything, 1 load only, 2 CPU only, 3 nothing
	discoveryKind     int // how discovery answers: 0 deltas, 1 snapshots, 2 mostly failures
	views             []PooledServer
	acts              []Action
	hash              uint64
	actions           int
}

func (c *goldenCourse) intN(n int) int                  { return c.rng.IntN(n) }
func (c *goldenCourse) chance(probability float64) bool { return c.rng.Float64() < probability }
func (c *goldenCourse) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

func goldenPick[T any](c *goldenCourse, of ...T) T { return of[c.intN(len(of))] }

// play delivers the first endpoint list in one of several ways, draws steps, and lets all pending events end.
func (c *goldenCourse) play() {
	if c.chance(0.5) {
		c.handle(WatchEvent{Kind: CachedSnapshot, Endpoints: c.drawList(goldenPick(c, 0, 0.5, 1))})
	}
	if c.chance(0.2) {
		c.handle(WatchEvent{Kind: WatchFailed})
	}
	if c.chance(0.8) {
		c.scheduleEvent(c.upTo(2*time.Second), WatchEvent{Kind: Snapshot, Endpoints: c.drawList(1)})
	}
	if c.chance(0.6) {
		c.handle(c.drawFleet())
	}
	for range goldenPick(c, 0, 0, 10, 100) {
		c.inherit()
	}
	for step := range c.steps {
		c.advance(time.Duration(c.rng.ExpFloat64() * float64(c.meanStepInterval)))
		c.step()
		if step%40 == 0 {
			c.observe()
		}
	}
	c.advance(time.Minute)
	c.observe()
}

// advance moves the clock and delivers the events that become due.
func (c *goldenCourse) advance(d time.Duration) {
	until := c.now + min(d, time.Minute)
	for len(c.queue) > 0 && c.queue[0].at <= until && c.scheduledEvents < 20_000 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.now = max(c.now, next.at)
		c.deliver(next.ev)
	}
	c.now = until
}

// scheduleEvent schedules an event for a time d from now.
func (c *goldenCourse) scheduleEvent(d time.Duration, ev Event) {
	c.scheduledEvents++
	at := c.now + max(d, 0)
	i, _ := slices.BinarySearchFunc(c.queue, at, func(e goldenEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	c.queue = slices.Insert(c.queue, i, goldenEvent{at: at, ev: ev})
}

// deliver updates the simulated servers and connections for an event that is due, and passes it to the
// Balancer.
func (c *goldenCourse) deliver(ev Event) {
	switch e := ev.(type) {
	case Opened:
		conn := c.conn(e.ID)
		if conn.done {
			return
		}
		conn.open = true
		c.servers[conn.server].open++
	case Outcome:
		conn := c.conn(e.ID)
		if conn.open {
			conn.open = false
			c.servers[conn.server].open--
		}
		conn.done = conn.done || e.Closed
		e.Closed = conn.done
		ev = e
	}
	c.handle(ev)
}

func (c *goldenCourse) conn(id RequestID) *goldenConn { return &c.conns[id-1] }

// handle passes an event to the Balancer, then hashes and performs the returned actions.
func (c *goldenCourse) handle(ev Event) {
	c.acts = c.b.Handle(c.now, ev, c.acts[:0])
	for _, a := range slices.Clone(c.acts) {
		c.actions++
		c.hashAction(a)
		c.performAction(a)
	}
	c.hashNumbers(uint64(len(c.acts)))
}

func (c *goldenCourse) performAction(act Action) {
	switch a := act.(type) {
	case Forward:
		c.attempt(a)
	case Reject:
		conn := c.conn(a.ID)
		conn.done = true
		if conn.request.Key != 0 && c.chance(0.3) { // its client tries again
			c.scheduleEvent(a.RetryAfter+c.upTo(500*ms), c.drawRequest(conn.request.Key, true))
		}
	case Fail:
		c.conn(a.ID).done = true
	case Migrate:
		c.scheduleEvent(c.upTo(20*ms), Outcome{
			ID:     a.ID,
			Server: ServerID(c.conn(a.ID).server),
			Status: Cancelled,
			Closed: true,
			Report: NoLoadReport,
		})
		if c.chance(0.7) {
			c.scheduleEvent(30*ms+c.upTo(200*ms), c.drawRequest(0, true))
		}
	case Probe:
		c.answerProbe(a.Server)
	case Timer:
		c.scheduleEvent(a.After, TimerFired{Token: a.Token})
		if c.chance(0.01) { // a timer that fires too early
			c.scheduleEvent(a.After/2, TimerFired{Token: a.Token})
		}
	case Subscribe, FetchSnapshot:
		c.answerDiscovery()
	}
}

// attempt draws the outcome of an attempt.
func (c *goldenCourse) attempt(a Forward) {
	conn := c.conn(a.ID)
	conn.server, conn.attempts = int(a.Server), conn.attempts+1
	s := &c.servers[a.Server]
	end := Outcome{ID: a.ID, Attempt: conn.attempts - 1, Server: a.Server, Report: c.report(s)}
	took := 5*ms + c.upTo(40*ms)
	if c.chance(0.02) {
		took = c.upTo(3 * time.Second)
	}
	switch health := s.health; {
	case health == goldenDead:
		end.Status = ConnectFailed
	case health == goldenErroring:
		end.Status = Errored
	case health == goldenFull:
		end.Status = AtCapacity
	case health == goldenSilent || took >= a.Timeout:
		end.Status, took = TimedOut, a.Timeout
	case c.chance(0.01):
		end.Status = goldenPick(c, Reset, Cancelled, Superseded)
	default:
		c.scheduleEvent(took,
			Opened{ID: a.ID, Attempt: end.Attempt, Server: a.Server, SetupLatency: took})
		took += c.upTo(2 * c.meanLife)
		end.Status, end.Closed = goldenPick(c, OK, OK, OK, Reset, Cancelled), c.chance(0.97)
		conn.done = false
	}
	end.Elapsed = took
	c.scheduleEvent(took, end)
}

func (c *goldenCourse) report(s *goldenServer) LoadReport {
	load := s.baseLoad + c.loadPerConn*float64(s.open)
	switch {
	case s.health == goldenWithoutReports || c.reportKind == 3:
		return NoLoadReport
	case c.reportKind == 2:
		return LoadReport{Load: -1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: load}
	case c.reportKind == 1:
		return loadReport(load, -1)
	}
	return LoadReport{Load: load, InFlight: load * 30, ErrorsPerSecond: 0, CPUUtilization: load / 2}
}

func (c *goldenCourse) answerProbe(id ServerID) {
	s := &c.servers[id]
	p := ProbeResult{Server: id, Latency: s.probeLatency + c.upTo(3*ms), Report: c.report(s)}
	switch {
	case c.chance(0.01): // lost
		return
	case c.chance(0.01):
		p.Status, p.Report = goldenPick(c, AtCapacity, Superseded), NoLoadReport
	case s.health == goldenDead:
		p.Status, p.Report = ConnectFailed, NoLoadReport
	case s.health == goldenErroring && c.chance(0.8):
		p.Status, p.Report = Errored, NoLoadReport
	case s.health == goldenSilent:
		p.Status, p.Latency, p.Report = TimedOut, 400*ms, NoLoadReport
	}
	c.scheduleEvent(p.Latency, p)
}

func (c *goldenCourse) answerDiscovery() {
	wait := c.upTo(60 * ms)
	switch {
	case c.discoveryKind == 2 && c.chance(0.8) || c.chance(0.1):
		c.scheduleEvent(wait, WatchEvent{Kind: WatchFailed})
	case c.discoveryKind == 1:
		c.scheduleEvent(wait, WatchEvent{Kind: Snapshot, Endpoints: c.drawList(1)})
	default:
		c.scheduleEvent(wait, WatchEvent{Kind: Delta, Endpoints: c.drawList(goldenPick(c, 0, 0.1, 1))})
	}
}

// drawList returns the present endpoints of a random fraction of the servers.
func (c *goldenCourse) drawList(fraction float64) (list []Endpoint) {
	for i := range c.servers {
		if fraction == 1 || c.chance(fraction) {
			list = append(list, c.servers[i].endpoint)
		}
	}
	return list
}

// The kinds of steps, which index the weights of a course.
const (
	goldenRequest = iota
	goldenGossip
	goldenFleetStatus
	goldenListChange
	goldenHealthChange
	goldenClientGone
	goldenInheritedConnection
	goldenConnectionLoad
	goldenMessageDelay
	goldenUnexpected
	goldenStepCount
)

// step draws one event.
func (c *goldenCourse) step() {
	sum := 0
	for _, w := range c.weights {
		sum += w
	}
	kind, at := 0, c.intN(sum)
	for at >= c.weights[kind] {
		at -= c.weights[kind]
		kind++
	}
	switch kind {
	case goldenRequest:
		c.handle(c.drawRequest(0, false))
	case goldenGossip:
		c.handle(c.drawGossip())
	case goldenFleetStatus:
		c.handle(c.drawFleet())
	case goldenListChange:
		c.changeList()
	case goldenHealthChange:
		c.changeHealth()
	case goldenClientGone:
		if len(c.conns) > 0 {
			id := RequestID(1 + len(c.conns) - 1 - c.intN(min(len(c.conns), 50)))
			if conn := c.conn(id); !conn.done {
				conn.done = true
				c.handle(ClientGone{ID: id})
			}
		}
	case goldenInheritedConnection:
		c.inherit()
	case goldenConnectionLoad:
		if len(c.conns) > 0 {
			c.handle(ConnectionLoad{
				ID: RequestID(1 + c.intN(len(c.conns))), Server: c.anyServer(), Load: c.rng.Float64(),
			})
		}
	case goldenMessageDelay:
		if len(c.conns) > 0 {
			id := RequestID(1 + c.intN(len(c.conns)))
			c.handle(MessageDelay{ID: id, Server: ServerID(c.conn(id).server), Delay: c.upTo(120 * ms)})
		}
	case goldenUnexpected:
		c.playUnexpectedEvent()
	}
}

func (c *goldenCourse) anyServer() ServerID { return ServerID(c.intN(len(c.servers))) }

// changeList restarts, drains, removes, restores or moves a random server, and delivers the change.
func (c *goldenCourse) changeList() {
	e := &c.servers[c.anyServer()].endpoint
	switch c.intN(8) {
	case 0, 1:
		e.State, e.StartedAt = Ready, c.now-c.upTo(3*time.Second)
	case 2:
		e.State = Draining
	case 3:
		e.State = Removed
	case 4:
		e.Zone = Zone(c.intN(max(c.set.Zones, 1) + 1)) // the last one is not in the settings
	case 5:
		e.RendezvousKey = c.rng.Uint64()
	default:
		e.State = Ready
	}
	kind := goldenPick(c, Delta, Delta, Delta, LocalDelta, Snapshot, CachedSnapshot, WatchFailed)
	switch kind {
	case Delta, LocalDelta:
		c.handle(WatchEvent{Kind: kind, Endpoints: []Endpoint{*e}})
	case WatchFailed:
		c.handle(WatchEvent{Kind: kind})
	default:
		c.handle(WatchEvent{Kind: kind, Endpoints: c.drawList(goldenPick(c, 0.9, 1, 1))})
	}
}

// changeHealth draws a server's health and changes its load.
func (c *goldenCourse) changeHealth() {
	id := c.anyServer()
	s := &c.servers[id]
	s.health = goldenHealthy
	if c.chance(c.unhealthyFraction) {
		s.health = goldenHealth(1 + c.intN(int(goldenHealthCount)-1))
	}
	s.baseLoad = max(0, min(s.baseLoad+0.3*c.rng.NormFloat64(), 1.3))
	s.probeLatency = goldenPick(c, 2*ms, 2*ms, 2*ms, 150*ms)
	if s.health == goldenDead { // its connections break
		for i := range c.conns {
			if conn := &c.conns[i]; conn.open && conn.server == int(id) {
				c.scheduleEvent(c.upTo(10*ms), Outcome{ID: RequestID(i + 1), Server: id, Status: Reset,
					Closed: true, Report: NoLoadReport})
			}
		}
	}
}

// playUnexpectedEvent delivers an event that should not come or that the Balancer ignores.
func (c *goldenCourse) playUnexpectedEvent() {
	unknown := RequestID(1 << 40)
	switch c.intN(7) {
	case 0:
		c.handle(PeerMessage{From: 1, Data: []byte("word")})
	case 1:
		c.handle(Opened{ID: unknown, Server: c.anyServer(), SetupLatency: c.upTo(time.Second)})
	case 2:
		c.handle(Outcome{ID: unknown, Server: c.anyServer(), Status: Reset})
	case 3:
		c.handle(ClientGone{ID: unknown})
	case 4:
		c.handle(MessageDelay{ID: unknown, Server: c.anyServer(), Delay: time.Second})
	case 5:
		c.handle(ProbeResult{Server: c.anyServer(), Latency: ms, Report: NoLoadReport})
	case 6:
		c.handle(WatchEvent{Kind: WatchFailed})
	}
}
