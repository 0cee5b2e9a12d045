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
		Relays:         10,
		Zones:          2,
		MaxAttempts:    3,
		Probes:         true,
		RetryAfter:     true,
		MaxRetryAfter:  time.Second,
		ConnectTimeout: 100 * ms,
		Tick:           ms,
		Classes: []ClassInfo{
			{
				LatencyObjective:        300 * ms,
				Deadline:                2 * time.Second,
				PriorityWeight:          1,
				MessageLatencyObjective: 50 * ms,
			},
			{
				LatencyObjective: 300 * ms,
				Deadline:         2 * time.Second,
				PriorityWeight:   1,
				Idempotency:      NonIdempotent,
			},
			{
				LatencyObjective: 300 * ms,
				Deadline:         2 * time.Second,
				PriorityWeight:   1,
				Idempotency:      IdempotentWithKey,
				DedupScope:       ScopeCell,
				DedupWindow:      time.Second,
			},
		},
		Tenants: []TenantInfo{{ServiceShare: 0.5}, {ServiceShare: 0.5}},
		Rules: Rules{
			PollDeadline:      10 * time.Second,
			SlowStartCapacity: 0.25,
			SlowStartWindow:   8 * time.Second,
			OverloadFactor:    3,
			OverloadWindow:    time.Second,
		},
		Prices: Prices{CrossZone: 0.05, Probe: 0.002, Migration: 0.02},
	}
}

// newRelay starts a relay that knows of n ready servers in its own zone.
func newRelay(t *testing.T, set Settings, seed uint64, n int) *relay {
	t.Helper()
	r := &relay{t: t, b: New(set, seed), now: time.Minute}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			Server:        ServerID(i),
			State:         Ready,
			Cell:          int32(i / 2),
			RendezvousKey: uint64(i+1) * 7919,
		})
	}
	r.do(WatchEvent{Kind: Snapshot, Endpoints: list})
	return r
}

func (r *relay) do(ev Event) []Action { return r.b.Handle(r.now, ev, nil) }

func (r *relay) advance(d time.Duration) *relay {
	r.now += d
	return r
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](acts []Action) (found []A) {
	for _, a := range acts {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

func newRequest(id RequestID) Request { return Request{ID: id, Tenant: 0, TimeLeft: 2 * time.Second} }

// loadReport is a report of a load and of the connections that the server holds, -1 if it does not tell.
func loadReport(load, inFlight float64) LoadReport {
	return LoadReport{Load: load, InFlight: inFlight, ErrorsPerSecond: -1, CPUUtilization: -1}
}

// answer gives every probe among the actions the load of its server, until none is left to answer, and
// returns all actions. A server without a load is silent.
func (r *relay) answer(acts []Action, loads map[ServerID]float64) []Action {
	for i := 0; i < len(acts); i++ {
		p, ok := acts[i].(Probe)
		if !ok {
			continue
		}
		ev := ProbeResult{Server: p.Server, Status: TimedOut, Latency: 100 * ms, Report: NoLoadReport}
		if load, up := loads[p.Server]; up {
			ev = ProbeResult{Server: p.Server, Latency: 2 * ms, Report: loadReport(load, load*20)}
		}
		acts = append(acts, r.do(ev)...)
	}
	return acts
}

// place has a request placed with the given loads and returns where it went, or -1.
func (r *relay) place(req Request, loads map[ServerID]float64) ServerID {
	r.t.Helper()
	sends := actionsOf[Forward](r.answer(r.do(req), loads))
	if len(sends) != 1 {
		return -1
	}
	return sends[0].Server
}

func (r *relay) open(id RequestID, on ServerID) {
	r.do(Opened{ID: id, Server: on, SetupLatency: 20 * ms})
}

// withConnections opens n connections of a relay on one server and n on the next.
func withConnections(t *testing.T, set Settings, n int, loads map[ServerID]float64) *relay {
	r := newRelay(t, set, 9, 6)
	for i := range n {
		for on := range ServerID(2) {
			id := RequestID(1000 + 2*i + int(on))
			r.do(Inherited{Request: newRequest(id), Server: on})
		}
	}
	r.place(newRequest(1), loads)
	return r
}

// checkLoad lets the watch probe once more and returns what was done about the answers.
func (r *relay) checkLoad(loads map[ServerID]float64) []Action {
	// A request keeps the pool fresh.
	acts := r.answer(r.advance(loadCheckInterval).do(newRequest(RequestID(r.now))), loads)
	return r.answer(append(acts, r.do(TimerFired{Token: timerLoadCheck.token(0)})...), loads)
}

// testEnvironment is that of a relay that has run for a minute.
func testEnvironment(set Settings) *environment {
	env := newEnvironment(validSettings(set), 1)
	env.begin(time.Minute, nil)
	env.begin(2*time.Minute, nil)
	return env
}
