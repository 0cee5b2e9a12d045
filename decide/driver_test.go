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

// newRelay starts a relay with a list of n ready servers in its own zone.
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
	r.handle(WatchEvent{Kind: Snapshot, Endpoints: list})
	return r
}

func (r *relay) handle(ev Event) []Action { return r.b.Handle(r.now, ev, nil) }

func (r *relay) advance(d time.Duration) *relay {
	r.now += d
	return r
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](acts []Action) (found []A) {
	for _, a := range acts {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

func newRequest(id RequestID) Request { return Request{ID: id, Tenant: 0, TimeLeft: 2 * time.Second} }

// loadReport returns a report of a load and of the number of connections that the server holds, -1 if not
// reported.
func loadReport(load, inFlight float64) LoadReport {
	return LoadReport{Load: load, InFlight: inFlight, ErrorsPerSecond: -1, CPUUtilization: -1}
}

// answerProbes answers every probe among the actions, and among the actions that follow, with the load of its
// server, and returns all actions. A server without a load does not answer.
func (r *relay) answerProbes(acts []Action, loads map[ServerID]float64) []Action {
	for i := 0; i < len(acts); i++ {
		p, ok := acts[i].(Probe)
		if !ok {
			continue
		}
		ev := ProbeResult{Server: p.Server, Status: TimedOut, Latency: 100 * ms, Report: NoLoadReport}
		if load, up := loads[p.Server]; up {
			ev = ProbeResult{Server: p.Server, Latency: 2 * ms, Report: loadReport(load, load*20)}
		}
		acts = append(acts, r.handle(ev)...)
	}
	return acts
}

// place handles a request with the given loads and returns the server it was forwarded to, or -1.
func (r *relay) place(req Request, loads map[ServerID]float64) ServerID {
	r.t.Helper()
	sends := actionsOf[Forward](r.answerProbes(r.handle(req), loads))
	if len(sends) != 1 {
		return -1
	}
	return sends[0].Server
}

func (r *relay) openConnection(id RequestID, on ServerID) {
	r.handle(Opened{ID: id, Server: on, SetupLatency: 20 * ms})
}

// newRelayWithConnections returns a relay with n inherited connections on each of servers 0 and 1.
func newRelayWithConnections(t *testing.T, set Settings, n int, loads map[ServerID]float64) *relay {
	r := newRelay(t, set, 9, 6)
	for i := range n {
		for on := range ServerID(2) {
			id := RequestID(1000 + 2*i + int(on))
			r.handle(Inherited{Request: newRequest(id), Server: on})
		}
	}
	r.place(newRequest(1), loads)
	return r
}

// checkLoad fires the load check's timer and returns the actions, including those after the probes' answers.
func (r *relay) checkLoad(loads map[ServerID]float64) []Action {
	// A request refreshes the readings of the pool.
	acts := r.answerProbes(r.advance(loadCheckInterval).handle(newRequest(RequestID(r.now))), loads)
	return r.answerProbes(append(acts, r.handle(TimerFired{Token: timerLoadCheck.token(0)})...), loads)
}

// testEnvironment returns the environment of a relay that has run for a minute.
func testEnvironment(set Settings) *environment {
	env := newEnvironment(validSettings(set), 1)
	env.begin(time.Minute, nil)
	env.begin(2*time.Minute, nil)
	return env
}
