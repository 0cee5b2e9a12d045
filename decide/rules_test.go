package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// randomCourse plays a random but valid sequence of events to one Balancer and checks the rules that a single
// relay can observe: exactly one final answer for each request, in time; at most two attempts, never two at
// once; no attempt on a server that is draining or removed; no repeat and no rejection after an attempt that
// may have run, unless they are safe.
type randomCourse struct {
	t             *testing.T
	b             *Balancer
	set           Settings
	rng           *rand.Rand
	now           time.Duration
	states        map[ServerID]EndpointState
	requestStates map[RequestID]*requestState
	pending       []pendingEvent
	nextID        RequestID
	forwards      int
	answers       int
}

type requestState struct {
	class       Class
	deadline    time.Duration
	attempts    int
	inFlight    bool
	open        bool
	done        bool
	mayHaveRun  bool // an attempt ended without proof that it never ran
	ranOnServer ServerID
}

type pendingEvent struct {
	at time.Duration
	ev Event
}

func (c *randomCourse) scheduleEvent(d time.Duration, ev Event) {
	c.pending = append(c.pending, pendingEvent{c.now + d, ev})
}

func (c *randomCourse) handle(ev Event) {
	for _, act := range c.b.Handle(c.now, ev, nil) {
		switch a := act.(type) {
		case Forward:
			c.forward(a)
		case Reject:
			r := c.recordFinalAnswer(a.ID, "rejection")
			if r.mayHaveRun && c.set.Classes[r.class].Idempotency != Idempotent {
				c.t.Fatalf("request %d was rejected although it may have run", a.ID)
			}
			if a.RetryAfter > c.set.MaxRetryAfter {
				c.t.Fatalf("Retry-After %v exceeds Settings.MaxRetryAfter", a.RetryAfter)
			}
		case Fail:
			c.recordFinalAnswer(a.ID, "failure")
		case Migrate:
			r := c.requestStates[a.ID]
			if r == nil || !r.open || r.done {
				c.t.Fatalf("request %d was migrated but has no open connection", a.ID)
			}
			r.done = true
			c.scheduleEvent(ms, Outcome{ID: a.ID, Status: Cancelled, Closed: true, Report: NoLoadReport})
		case Timer:
			c.scheduleEvent(a.After, TimerFired{Token: a.Token})
		case Probe:
			p := ProbeResult{Server: a.Server, Latency: 3 * ms, Report: NoLoadReport}
			switch c.rng.IntN(8) {
			case 0:
				p.Status = TimedOut
			case 1:
				p.Status = []Status{ConnectFailed, AtCapacity, Errored}[c.rng.IntN(3)]
			default:
				load := c.rng.Float64()
				p.Report = loadReport(load, 20*load)
			}
			c.scheduleEvent(time.Duration(c.rng.IntN(100))*ms, p)
		case Subscribe:
			c.scheduleEvent(20*ms, WatchEvent{Kind: []WatchKind{Delta, WatchFailed}[c.rng.IntN(2)]})
		}
	}
}

func (c *randomCourse) forward(a Forward) {
	r := c.requestStates[a.ID]
	if r == nil || r.done || r.open || r.inFlight {
		c.t.Fatalf("request %d was forwarded while done, open, in flight or unknown: %+v", a.ID, r)
	}
	if c.states[a.Server] != Ready {
		c.t.Fatalf("forwarded to server %d, which is in state %d, want Ready", a.Server, c.states[a.Server])
	}
	if r.attempts++; r.attempts > 2 {
		c.t.Fatalf("request %d has %d attempts, want at most 2", a.ID, r.attempts)
	}
	if class := c.set.Classes[r.class]; r.mayHaveRun && class.Idempotency == NonIdempotent ||
		r.mayHaveRun && class.Idempotency == IdempotentWithKey && a.Server/2 != r.ranOnServer/2 {
		c.t.Fatalf("request %d of class %d may have run and was repeated on server %d",
			a.ID, r.class, a.Server)
	}
	r.inFlight = true
	c.forwards++
	left := r.deadline - c.now
	took := time.Duration(c.rng.IntN(600)) * ms
	limit := min(a.Timeout, left)
	end := Outcome{ID: a.ID, Attempt: r.attempts - 1, Server: a.Server, Elapsed: took, Report: NoLoadReport}
	switch status := Status(c.rng.IntN(8)); {
	case took >= limit: // also at the deadline, after which the final answer is still due
		end.Status = TimedOut
		c.scheduleEvent(limit, end)
	case status == OK || status == Cancelled || status == Superseded || status == TimedOut:
		c.scheduleEvent(took,
			Opened{ID: a.ID, Attempt: end.Attempt, Server: a.Server, SetupLatency: took})
		end.Status, end.Closed = []Status{OK, Reset}[c.rng.IntN(2)], true
		c.scheduleEvent(took+time.Duration(c.rng.IntN(5000))*ms, end)
	default:
		end.Status = status
		c.scheduleEvent(took, end)
	}
}

func (c *randomCourse) recordFinalAnswer(id RequestID, how string) *requestState {
	r := c.requestStates[id]
	if r == nil || r.done || r.open || r.inFlight {
		c.t.Fatalf("%s of request %d while done, open, in flight or unknown: %+v", how, id, r)
	}
	if c.now > r.deadline+c.set.Tick {
		c.t.Fatalf("%s of request %d came %v after its deadline", how, id, c.now-r.deadline)
	}
	r.done = true
	c.answers++
	return r
}

// deliverDueEvents delivers the events that are due, in order and each at its time.
func (c *randomCourse) deliverDueEvents() {
	until := c.now
	defer func() { c.now = until }()
	for {
		next := -1
		for i, p := range c.pending {
			if p.at <= until && (next < 0 || p.at < c.pending[next].at) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		ev := c.pending[next].ev
		c.now = c.pending[next].at
		c.pending = append(c.pending[:next], c.pending[next+1:]...)
		switch e := ev.(type) {
		case Opened:
			r := c.requestStates[e.ID]
			if r.done {
				continue
			}
			r.open = true
		case Outcome:
			r := c.requestStates[e.ID]
			r.inFlight = false
			if !e.Status.NeverRan() && !r.mayHaveRun {
				r.mayHaveRun, r.ranOnServer = true, e.Server
			}
			if e.Closed && !r.done {
				c.answers++
			}
			e.Closed = e.Closed || r.done
			r.done = r.done || e.Closed
			ev = e
		}
		c.handle(ev)
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		set := settings()
		set.MustSubscribe = seed%2 == 0
		set.GroupAffinity = seed%3 == 0
		c := &randomCourse{
			t:             t,
			b:             New(set, seed),
			set:           set,
			rng:           rand.New(rand.NewPCG(seed, 1)),
			now:           time.Minute,
			states:        map[ServerID]EndpointState{},
			requestStates: map[RequestID]*requestState{},
		}
		c.b.Handle(c.now, WatchEvent{Kind: CachedSnapshot}, nil)
		for c.now < 3*time.Minute {
			c.now += ms * time.Duration(1+c.rng.IntN(20))
			c.deliverDueEvents()
			switch c.rng.IntN(12) {
			case 0: // a server is added, drains, is removed or restarts
				e := Endpoint{
					Server:    ServerID(c.rng.IntN(12)),
					State:     EndpointState(c.rng.IntN(3)),
					StartedAt: c.now * time.Duration(c.rng.IntN(5)/4),
				}
				e.Zone, e.Cell = Zone(e.Server%2), int32(e.Server/2)
				c.states[e.Server] = e.State
				c.handle(WatchEvent{Kind: Delta, Endpoints: []Endpoint{e}})
			case 1, 2, 3:
				c.nextID++
				req := Request{
					ID:       c.nextID,
					Class:    Class(c.rng.IntN(3)),
					Tenant:   Tenant(c.rng.IntN(3)) - 1,
					Key:      uint64(c.rng.IntN(5)),
					Group:    uint64(c.rng.IntN(4)),
					TimeLeft: time.Duration(c.rng.IntN(2000)) * ms,
				}
				c.requestStates[req.ID] = &requestState{class: req.Class, deadline: c.now + req.TimeLeft}
				c.handle(req)
			case 4: // a client disconnects
				id := RequestID(c.rng.IntN(int(c.nextID) + 1))
				if r := c.requestStates[id]; r != nil && !r.done {
					r.done = true
					c.answers++
					c.handle(ClientGone{ID: id})
				}
			}
			for id, r := range c.requestStates {
				if !r.done && !r.open && c.now > r.deadline+50*ms {
					t.Fatalf("seed %d: request %d was never answered: %+v", seed, id, r)
				}
			}
		}
		if c.forwards < 150 || c.answers < 500 {
			t.Fatalf("seed %d: %d forwards and %d answers, want at least 150 and 500 for a meaningful test",
				seed, c.forwards, c.answers)
		}
		for c.now < 4*time.Minute { // let all requests end
			c.now += 20 * ms
			c.deliverDueEvents()
		}
		if n := len(c.b.requests.requests); n != 0 {
			t.Errorf("seed %d: %d requests stored after all have ended, want none", seed, n)
		}
		if n := len(c.b.requests.queuedRequests) + c.b.requests.ownConnections; n != 0 {
			t.Errorf("seed %d: %d queued requests and own connections after all have ended, want none",
				seed, n)
		}
	}
}

// The stored keys, requests and samples must not grow with the run time.
func TestMemoryIsBounded(t *testing.T) {
	r := newRelay(t, settings(), 1, 0)
	for id := RequestID(1); id < 20000; id++ {
		req := newRequest(id)
		req.Key = uint64(id)
		r.advance(ms).handle(req)
		r.handle(Opened{ID: 1 << 40, SetupLatency: 20 * ms})
	}
	failures := &r.b.rejections.keyFailures
	if n := len(failures.recent) + len(failures.previous); n > 2*maxFailingKeys || n < maxFailingKeys {
		t.Errorf("%d failing keys stored, want 1 to 2 generations of maxFailingKeys", n)
	}
	if len(r.b.requests.requests) != 0 || len(r.b.timeouts.setupLatencies) != setupLatencySamples {
		t.Errorf("%d requests and %d set-up latencies stored, want 0 and setupLatencySamples",
			len(r.b.requests.requests), len(r.b.timeouts.setupLatencies))
	}
}
