package decide

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// relay drives one Balancer on a fake clock.
type relay struct {
	t   *testing.T
	b   *Balancer
	now time.Duration
}

func settings() Settings {
	return Settings{
		Relays: 10, Zones: 2, MaxAttempts: 3, Probes: true, RetryAfter: true, MaxRetryAfter: time.Second,
		ConnectTimeout: 100 * ms, Tick: ms,
		Classes: []ClassInfo{
			{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, MessageLatencyObjective: 50 * ms},
			{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: NonIdempotent},
			{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: IdempotentWithKey, DedupScope: ScopeCell, DedupWindow: time.Second},
		},
		Tenants: []TenantInfo{{ServiceShare: 0.5}, {ServiceShare: 0.5}},
		Rules: Rules{PollWithin: 10 * time.Second, SlowStartCapacity: 0.25, SlowStartWindow: 8 * time.Second, OverloadFactor: 3,
			OverloadWindow: time.Second},
		Prices: Prices{CrossZone: 0.05, Probe: 0.002, Move: 0.02},
	}
}

// newRelay starts a relay that has been told of n ready backends in its own zone.
func newRelay(t *testing.T, set Settings, seed uint64, n int) *relay {
	t.Helper()
	r := &relay{t: t, b: New(set, seed), now: time.Minute}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Server: ServerID(i), State: Ready, Cell: int32(i / 2), RendezvousKey: uint64(i+1) * 7919})
	}
	r.do(WatchEvent{Kind: Snapshot, Endpoints: list})
	return r
}

func (r *relay) do(ev Event) []Action { return r.b.Handle(r.now, ev, nil) }

func (r *relay) pass(d time.Duration) *relay {
	r.now += d
	return r
}

// all returns the actions of one type.
func all[A Action](acts []Action) (found []A) {
	for _, a := range acts {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

func ask(id RequestID) Request { return Request{ID: id, Tenant: 0, TimeLeft: 2 * time.Second} }

// answer gives every probe among the actions the load of its backend, until none is left to answer, and
// returns all actions. A backend without a load is silent.
func (r *relay) answer(acts []Action, loads map[ServerID]float64) []Action {
	for i := 0; i < len(acts); i++ {
		p, ok := acts[i].(Probe)
		if !ok {
			continue
		}
		ev := ProbeResult{Server: p.Server, Status: TimedOut, Latency: 100 * ms, Report: NoLoadReport}
		if load, up := loads[p.Server]; up {
			ev = ProbeResult{Server: p.Server, Latency: 2 * ms, Report: LoadReport{Load: load, InFlight: load * 20, ErrorsPerSecond: -1, CPUUtilization: -1}}
		}
		acts = append(acts, r.do(ev)...)
	}
	return acts
}

// place has a request placed with the given loads and returns where it went, or -1.
func (r *relay) place(req Request, loads map[ServerID]float64) ServerID {
	r.t.Helper()
	sends := all[Forward](r.answer(r.do(req), loads))
	if len(sends) != 1 {
		return -1
	}
	return sends[0].Server
}

func (r *relay) open(id RequestID, on ServerID) {
	r.do(Opened{ID: id, Server: on, SetupLatency: 20 * ms})
}

// holdOn opens n connections of a relay on one backend and n on the next.
func holdOn(t *testing.T, set Settings, n int, loads map[ServerID]float64) *relay {
	r := newRelay(t, set, 9, 6)
	for i := range n {
		for on := range ServerID(2) {
			id := RequestID(1000 + 2*i + int(on))
			r.do(Inherited{Request: ask(id), Server: on})
		}
	}
	r.place(ask(1), loads)
	return r
}

// look lets the watch probe once more and returns what was done about the answers.
func (r *relay) look(loads map[ServerID]float64) []Action {
	acts := r.answer(r.pass(loadWatchInterval).do(ask(RequestID(r.now))), loads) // keeps the pool fresh
	return r.answer(append(acts, r.do(TimerFired{Token: timerLoadWatch})...), loads)
}
