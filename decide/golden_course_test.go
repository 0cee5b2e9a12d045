package decide

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// goldenServer is a server as the course plays it.
type goldenServer struct {
	endpoint Endpoint
	base     float64 // its load beside what this relay opens there
	slow     time.Duration
	health   goldenHealth
	open     int
}

type goldenHealth int

const (
	goldenWell goldenHealth = iota
	goldenDead
	goldenErring
	goldenSilent
	goldenFull
	goldenBlind // answers, and reports nothing
	goldenHealths
)

type goldenConn struct {
	request  Request
	attempts int
	on       int
	open     bool
	over     bool
}

type goldenEvent struct {
	at time.Duration
	ev Event
}

// goldenCourse plays one drawn course of events to one Balancer and hashes what it answers.
type goldenCourse struct {
	t       *testing.T
	rng     *rand.Rand
	set     Settings
	b       *Balancer
	now     time.Duration
	queue   []goldenEvent // in the order in which they are due
	events  int           // put off so far
	servers []goldenServer
	conns   []goldenConn // by request's number less one
	steps   int
	gap     time.Duration    // mean time between steps
	weights [goldenSteps]int // how likely each kind of step is
	groups  int
	keys    int
	trouble float64 // part of servers that are not well, in bad times
	life    time.Duration
	perConn float64
	reports int // how servers report: 0 all, 1 load only, 2 CPU only, 3 nothing
	answers int // how discovery answers: 0 deltas, 1 snapshots, 2 mostly not
	views   []PooledServer
	acts    []Action
	hash    uint64
	actions int
}

func (c *goldenCourse) n(n int) int              { return c.rng.IntN(n) }
func (c *goldenCourse) chance(part float64) bool { return c.rng.Float64() < part }
func (c *goldenCourse) upTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

func goldenPick[T any](c *goldenCourse, of ...T) T { return of[c.n(len(of))] }

// play begins with a list, of one kind or another, draws steps, and lets all that is under way end.
func (c *goldenCourse) play() {
	if c.chance(0.5) {
		c.handle(WatchEvent{Kind: CachedSnapshot, Endpoints: c.list(goldenPick(c, 0, 0.5, 1))})
	}
	if c.chance(0.2) {
		c.handle(WatchEvent{Kind: WatchFailed})
	}
	if c.chance(0.8) {
		c.after(c.upTo(2*time.Second), WatchEvent{Kind: Snapshot, Endpoints: c.list(1)})
	}
	if c.chance(0.6) {
		c.handle(c.drawFleet())
	}
	for range goldenPick(c, 0, 0, 10, 100) {
		c.inherit()
	}
	for step := range c.steps {
		c.advance(time.Duration(c.rng.ExpFloat64() * float64(c.gap)))
		c.step()
		if step%40 == 0 {
			c.observe()
		}
	}
	c.advance(time.Minute)
	c.observe()
}

// advance plays what comes due in so long.
func (c *goldenCourse) advance(d time.Duration) {
	until := c.now + min(d, time.Minute)
	for len(c.queue) > 0 && c.queue[0].at <= until && c.events < 20_000 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.now = max(c.now, next.at)
		c.deliver(next.ev)
	}
	c.now = until
}

// after puts an event off.
func (c *goldenCourse) after(d time.Duration, ev Event) {
	c.events++
	at := c.now + max(d, 0)
	i, _ := slices.BinarySearchFunc(c.queue, at, func(e goldenEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	c.queue = slices.Insert(c.queue, i, goldenEvent{at: at, ev: ev})
}

// deliver gives the Balancer an event that has come due, after what the course itself knows of it.
func (c *goldenCourse) deliver(ev Event) {
	switch e := ev.(type) {
	case Opened:
		conn := c.conn(e.ID)
		if conn.over {
			return
		}
		conn.open = true
		c.servers[conn.on].open++
	case Outcome:
		conn := c.conn(e.ID)
		if conn.open {
			conn.open = false
			c.servers[conn.on].open--
		}
		conn.over = conn.over || e.Closed
		e.Closed = conn.over
		ev = e
	}
	c.handle(ev)
}

func (c *goldenCourse) conn(id RequestID) *goldenConn { return &c.conns[id-1] }

// handle gives the Balancer an event, and the world its actions.
func (c *goldenCourse) handle(ev Event) {
	c.acts = c.b.Handle(c.now, ev, c.acts[:0])
	for _, a := range slices.Clone(c.acts) {
		c.actions++
		c.hashAction(a)
		c.react(a)
	}
	c.add(uint64(len(c.acts)))
}

func (c *goldenCourse) react(act Action) {
	switch a := act.(type) {
	case Forward:
		c.attempt(a)
	case Reject:
		conn := c.conn(a.ID)
		conn.over = true
		if conn.request.Key != 0 && c.chance(0.3) { // its client comes again
			c.after(a.RetryAfter+c.upTo(500*ms), c.drawRequest(conn.request.Key, true))
		}
	case Fail:
		c.conn(a.ID).over = true
	case Migrate:
		c.after(c.upTo(20*ms), Outcome{
			ID:     a.ID,
			Server: ServerID(c.conn(a.ID).on),
			Status: Cancelled,
			Closed: true,
			Report: NoLoadReport,
		})
		if c.chance(0.7) {
			c.after(30*ms+c.upTo(200*ms), c.drawRequest(0, true))
		}
	case Probe:
		c.answerProbe(a.Server)
	case Timer:
		c.after(a.After, TimerFired{Token: a.Token})
		if c.chance(0.01) { // an alarm too early
			c.after(a.After/2, TimerFired{Token: a.Token})
		}
	case Subscribe, FetchSnapshot:
		c.answerDiscovery()
	}
}

// attempt draws how an attempt goes.
func (c *goldenCourse) attempt(a Forward) {
	conn := c.conn(a.ID)
	conn.on, conn.attempts = int(a.Server), conn.attempts+1
	s := &c.servers[a.Server]
	end := Outcome{ID: a.ID, Attempt: conn.attempts - 1, Server: a.Server, Report: c.report(s)}
	took := 5*ms + c.upTo(40*ms)
	if c.chance(0.02) {
		took = c.upTo(3 * time.Second)
	}
	switch health := s.health; {
	case health == goldenDead:
		end.Status = ConnectFailed
	case health == goldenErring:
		end.Status = Errored
	case health == goldenFull:
		end.Status = AtCapacity
	case health == goldenSilent || took >= a.Timeout:
		end.Status, took = TimedOut, a.Timeout
	case c.chance(0.01):
		end.Status = goldenPick(c, Reset, Cancelled, Superseded)
	default:
		c.after(took, Opened{ID: a.ID, Attempt: end.Attempt, Server: a.Server, SetupLatency: took})
		took += c.upTo(2 * c.life)
		end.Status, end.Closed = goldenPick(c, OK, OK, OK, Reset, Cancelled), c.chance(0.97)
		conn.over = false
	}
	end.Elapsed = took
	c.after(took, end)
}

func (c *goldenCourse) report(s *goldenServer) LoadReport {
	load := s.base + c.perConn*float64(s.open)
	switch {
	case s.health == goldenBlind || c.reports == 3:
		return NoLoadReport
	case c.reports == 2:
		return LoadReport{Load: -1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: load}
	case c.reports == 1:
		return loadReport(load, -1)
	}
	return LoadReport{Load: load, InFlight: load * 30, ErrorsPerSecond: 0, CPUUtilization: load / 2}
}

func (c *goldenCourse) answerProbe(id ServerID) {
	s := &c.servers[id]
	p := ProbeResult{Server: id, Latency: s.slow + c.upTo(3*ms), Report: c.report(s)}
	switch {
	case c.chance(0.01): // lost
		return
	case c.chance(0.01):
		p.Status, p.Report = goldenPick(c, AtCapacity, Superseded), NoLoadReport
	case s.health == goldenDead:
		p.Status, p.Report = ConnectFailed, NoLoadReport
	case s.health == goldenErring && c.chance(0.8):
		p.Status, p.Report = Errored, NoLoadReport
	case s.health == goldenSilent:
		p.Status, p.Latency, p.Report = TimedOut, 400*ms, NoLoadReport
	}
	c.after(p.Latency, p)
}

func (c *goldenCourse) answerDiscovery() {
	wait := c.upTo(60 * ms)
	switch {
	case c.answers == 2 && c.chance(0.8) || c.chance(0.1):
		c.after(wait, WatchEvent{Kind: WatchFailed})
	case c.answers == 1:
		c.after(wait, WatchEvent{Kind: Snapshot, Endpoints: c.list(1)})
	default:
		c.after(wait, WatchEvent{Kind: Delta, Endpoints: c.list(goldenPick(c, 0, 0.1, 1))})
	}
}

// list draws a part of the servers, as they stand.
func (c *goldenCourse) list(part float64) (list []Endpoint) {
	for i := range c.servers {
		if part == 1 || c.chance(part) {
			list = append(list, c.servers[i].endpoint)
		}
	}
	return list
}

// The kinds of step, as the weights of a course count them.
const (
	goldenRequest = iota
	goldenGossip
	goldenFleet
	goldenList
	goldenHealthChange
	goldenGone
	goldenInherited
	goldenLoadNote
	goldenDelay
	goldenOdd
	goldenSteps
)

// step draws one thing that happens.
func (c *goldenCourse) step() {
	sum := 0
	for _, w := range c.weights {
		sum += w
	}
	kind, at := 0, c.n(sum)
	for at >= c.weights[kind] {
		at -= c.weights[kind]
		kind++
	}
	switch kind {
	case goldenRequest:
		c.handle(c.drawRequest(0, false))
	case goldenGossip:
		c.handle(c.drawGossip())
	case goldenFleet:
		c.handle(c.drawFleet())
	case goldenList:
		c.changeList()
	case goldenHealthChange:
		c.changeHealth()
	case goldenGone:
		if len(c.conns) > 0 {
			id := RequestID(1 + len(c.conns) - 1 - c.n(min(len(c.conns), 50)))
			if conn := c.conn(id); !conn.over {
				conn.over = true
				c.handle(ClientGone{ID: id})
			}
		}
	case goldenInherited:
		c.inherit()
	case goldenLoadNote:
		if len(c.conns) > 0 {
			c.handle(ConnectionLoad{
				ID: RequestID(1 + c.n(len(c.conns))), Server: c.anyServer(), Load: c.rng.Float64(),
			})
		}
	case goldenDelay:
		if len(c.conns) > 0 {
			id := RequestID(1 + c.n(len(c.conns)))
			c.handle(MessageDelay{ID: id, Server: ServerID(c.conn(id).on), Delay: c.upTo(120 * ms)})
		}
	case goldenOdd:
		c.odd()
	}
}

func (c *goldenCourse) anyServer() ServerID { return ServerID(c.n(len(c.servers))) }

// changeList lets a server start anew, drain, go, come back or change its place, and tells of it.
func (c *goldenCourse) changeList() {
	e := &c.servers[c.anyServer()].endpoint
	switch c.n(8) {
	case 0, 1:
		e.State, e.StartedAt = Ready, c.now-c.upTo(3*time.Second)
	case 2:
		e.State = Draining
	case 3:
		e.State = Removed
	case 4:
		e.Zone = Zone(c.n(max(c.set.Zones, 1) + 1)) // one of them is not in the settings
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
		c.handle(WatchEvent{Kind: kind, Endpoints: c.list(goldenPick(c, 0.9, 1, 1))})
	}
}

// changeHealth makes a server ill or well, and moves its load.
func (c *goldenCourse) changeHealth() {
	id := c.anyServer()
	s := &c.servers[id]
	s.health = goldenWell
	if c.chance(c.trouble) {
		s.health = goldenHealth(1 + c.n(int(goldenHealths)-1))
	}
	s.base = max(0, min(s.base+0.3*c.rng.NormFloat64(), 1.3))
	s.slow = goldenPick(c, 2*ms, 2*ms, 2*ms, 150*ms)
	if s.health == goldenDead { // its connections break
		for i := range c.conns {
			if conn := &c.conns[i]; conn.open && conn.on == int(id) {
				c.after(c.upTo(10*ms), Outcome{ID: RequestID(i + 1), Server: id, Status: Reset, Closed: true,
					Report: NoLoadReport})
			}
		}
	}
}

// odd plays what should not come, or says nothing to a Balancer.
func (c *goldenCourse) odd() {
	unknown := RequestID(1 << 40)
	switch c.n(7) {
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
