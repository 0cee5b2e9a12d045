package decide

import (
	"reflect"
	"slices"
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

func TestPlacesOnTheLeastLoadedReading(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	loads := map[ServerID]float64{0: 0.5, 1: 0.3, 2: 0.1, 3: 0.4}
	if got := r.place(ask(1), loads); got != 2 {
		t.Fatalf("placed on %d, not on the least loaded", got)
	}
	// 0.05 a connection: own placements since the readings count until 2 is no longer the least.
	counts := map[ServerID]int{}
	for id := RequestID(2); id < 9; id++ {
		for _, s := range all[Forward](r.do(ask(id))) {
			counts[s.Server]++
		}
	}
	if counts[2] < 3 || counts[1] == 0 || counts[0] != 0 {
		t.Errorf("own placements since the readings do not count: %v", counts)
	}
}

func TestTiesBreakAtRandomAndUnprobedStayOut(t *testing.T) {
	seen := map[ServerID]bool{}
	for seed := range uint64(40) {
		r := newRelay(t, settings(), seed, 4)
		seen[r.place(ask(1), map[ServerID]float64{0: 0.2, 1: 0.2})] = true // 2 and 3 never answer
	}
	if !seen[0] || !seen[1] || seen[2] || seen[3] {
		t.Errorf("picked %v; want both of the tied backends and none without a reading", seen)
	}
}

func TestReadingsExpire(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	r.place(ask(1), map[ServerID]float64{0: 0.5, 1: 0.5, 2: 0.1, 3: 0.5})
	r.pass(readingFreshFor + ms)
	if probes := all[Probe](r.do(ask(2))); len(probes) != probesPerPlacement {
		t.Errorf("%d probes for a stale pool, want %d", len(probes), probesPerPlacement)
	}
}

// With no reading at all the request goes to a backend at random, well ones first, bad ones at the last;
// a pool that is empty refuses nobody.
func TestEmptyPoolFallsBackGently(t *testing.T) {
	for name, n := range map[string]int{"silent fleet": 4, "empty list": 0} {
		r := newRelay(t, settings(), 3, n)
		acts := r.answer(r.do(ask(1)), nil)
		acts = append(acts, r.pass(time.Second).do(TimerFired{Token: 1*timerKinds + timerRequest})...)
		sends, refused := len(all[Forward](acts)), len(all[Reject](acts))
		if n > 0 && sends != 1 || n == 0 && refused != 1 {
			t.Errorf("%s: %d sends, %d refusals", name, sends, refused)
		}
	}
}

func TestSetupTimeout(t *testing.T) {
	cases := []struct {
		name    string
		samples []time.Duration
		left    time.Duration
		want    time.Duration
	}{
		{"no samples: the aim", nil, 2 * time.Second, 300 * ms},
		{"near the median: padded", repeat(60*ms, 64), 2 * time.Second, 180 * ms},
		{"the percentile", append(repeat(20*ms, 63), 400*ms), 2 * time.Second, 400 * ms},
		{"no less than a connection may take", repeat(2*ms, 64), 2 * time.Second, 100 * ms},
		{"within what is left", append(repeat(20*ms, 63), 400*ms), 250 * ms, 250 * ms},
	}
	for _, c := range cases {
		r := newRelay(t, settings(), 1, 2)
		for _, took := range c.samples {
			r.do(Opened{ID: 999, SetupLatency: took})
		}
		req := ask(1)
		req.TimeLeft = c.left
		sends := all[Forward](r.answer(r.do(req), map[ServerID]float64{0: 0.1, 1: 0.1}))
		if len(sends) != 1 || sends[0].Timeout != c.want {
			t.Errorf("%s: %v, want %v", c.name, sends, c.want)
		}
	}
}

// A slow store makes every set-up late, and one that timed out is never a sample: the time-out must give way,
// but not to a single backend that hangs.
func TestTimeoutGivesWayWhenNothingComes(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1, 5: 0.1}
	last := func(opens bool) (timeout time.Duration) {
		r := newRelay(t, settings(), 4, 6)
		for range 64 {
			r.do(Opened{ID: 999, SetupLatency: 40 * ms})
		}
		for id := RequestID(1); id < 8; id++ {
			sends := all[Forward](r.answer(r.pass(3*time.Second).do(ask(id)), loads))
			if len(sends) != 1 {
				t.Fatalf("request %d: %v", id, sends)
			}
			timeout = sends[0].Timeout
			r.do(Outcome{ID: id, Server: sends[0].Server, Status: TimedOut, Closed: true, Report: NoLoadReport})
			if opens {
				r.do(Opened{ID: 999, SetupLatency: 40 * ms})
			}
		}
		return timeout
	}
	if one, every := last(true), last(false); one != 120*ms || every < 480*ms {
		t.Errorf("time-out %v after some late set-ups, %v after nothing but late ones", one, every)
	}
}

func repeat(d time.Duration, n int) (list []time.Duration) {
	for range n {
		list = append(list, d)
	}
	return list
}

func TestOneRetryElsewhereAfterJitter(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.2, 2: 0.3, 3: 0.3}
	waits := map[time.Duration]bool{}
	for seed := range uint64(20) {
		r := newRelay(t, settings(), seed, 4)
		first := r.place(ask(1), loads)
		acts := r.pass(10 * ms).do(Outcome{ID: 1, Server: first, Status: Reset, Report: NoLoadReport})
		timers := all[Timer](acts)
		if len(timers) != 1 || timers[0].After > 75*ms {
			t.Fatalf("no back-off within a quarter of the aim: %v", acts)
		}
		waits[timers[0].After] = true
		acts = r.answer(r.pass(timers[0].After).do(TimerFired{Token: timers[0].Token}), loads)
		sends := all[Forward](acts)
		if len(sends) != 1 || sends[0].Server == first {
			t.Fatalf("second try: %v, want one on another backend than %d", acts, first)
		}
		acts = r.pass(10 * ms).do(Outcome{ID: 1, Attempt: 1, Server: sends[0].Server, Status: Reset, Report: NoLoadReport})
		if len(all[Reject](acts)) != 1 || len(all[Timer](acts)) != 0 {
			t.Fatalf("after two tries: %v, want a refusal", acts)
		}
	}
	if len(waits) < 10 {
		t.Errorf("back-off is not jittered: %v", waits)
	}
}

// One tenant's surge of failures must not use up another's retries.
func TestRetryBucketIsEachTenantsOwn(t *testing.T) {
	r := newRelay(t, settings(), 1, 8)
	loads := map[ServerID]float64{}
	for i := range ServerID(8) {
		loads[i] = 0.1
	}
	fail := func(id RequestID, tenant Tenant) (retried bool) {
		req := ask(id)
		req.Tenant = tenant
		on := r.pass(5*time.Second).place(req, loads)
		if on < 0 {
			t.Fatalf("request %d was not placed", id)
		}
		return len(all[Timer](r.do(Outcome{ID: id, Server: on, Status: AtCapacity, Report: NoLoadReport}))) == 1
	}
	retries := 0
	for id := RequestID(1); id <= 20; id++ {
		if fail(id, 0) {
			retries++
		}
	}
	if retries < int(maxRetryTokens) || retries > 6 {
		t.Errorf("%d of 20 failures were retried; want the burst and a fifth of the rest", retries)
	}
	if !fail(21, 1) {
		t.Error("another tenant's bucket was drained")
	}
}

func TestRetryAfterGrowsWithTheKeysFailures(t *testing.T) {
	longest := func(failures int) (most time.Duration) {
		for seed := range uint64(60) {
			r := newRelay(t, settings(), seed, 0)
			var last Reject
			for id := range RequestID(failures) {
				req := ask(id + 1)
				req.Key = 42
				refused := all[Reject](r.do(req))
				if len(refused) != 1 || refused[0].RetryAfter > time.Second {
					t.Fatalf("want one refusal within the cap: %v", refused)
				}
				last = refused[0]
			}
			most = max(most, last.RetryAfter)
		}
		return most
	}
	if once, thrice := longest(1), longest(3); once > 300*ms || thrice <= once {
		t.Errorf("retry-after up to %v after one failure, %v after three", once, thrice)
	}
}

func TestEffectsDecideBetweenRetryRefusalAndFailure(t *testing.T) {
	cases := []struct {
		name   string
		class  Class
		status Status
		retry  bool
		refuse bool // after the last try
	}{
		{"safe, may have run", 0, Reset, true, true},
		{"unsafe, never ran", 1, AtCapacity, true, true},
		{"unsafe, may have run", 1, Errored, false, false},
		{"keyed, never ran", 2, ConnectFailed, true, true},
		{"keyed, may have run", 2, Reset, true, false},
	}
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1}
	for _, c := range cases {
		for seed := range uint64(12) {
			r := newRelay(t, settings(), seed, 4)
			req := ask(1)
			req.Class = c.class
			on := r.place(req, loads)
			acts := r.do(Outcome{ID: 1, Server: on, Status: c.status, Report: NoLoadReport})
			timers := all[Timer](acts)
			if (len(timers) == 1) != c.retry {
				t.Fatalf("%s: %v", c.name, acts)
			}
			if c.retry {
				acts = r.answer(r.pass(timers[0].After).do(TimerFired{Token: timers[0].Token}), loads)
				for _, s := range all[Forward](acts) {
					if c.class == 2 && !c.status.NeverRan() && s.Server/2 != on/2 {
						t.Fatalf("%s: sent again outside the cell", c.name)
					}
					acts = r.do(Outcome{ID: 1, Attempt: 1, Server: s.Server, Status: c.status, Report: NoLoadReport})
				}
			}
			if len(all[Reject](acts)) == 1 != c.refuse || len(all[Fail](acts)) == 1 == c.refuse {
				t.Fatalf("%s: ended with %v", c.name, acts)
			}
		}
	}
}

func TestDrainingAndGoneGetNothingNew(t *testing.T) {
	for _, mode := range []EndpointState{Draining, Removed} {
		r := newRelay(t, settings(), 5, 3)
		loads := map[ServerID]float64{0: 0.1, 1: 0.6, 2: 0.6}
		r.place(ask(1), loads)
		r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 0, State: mode}}})
		for id := RequestID(2); id < 30; id++ {
			if got := r.pass(100*ms).place(ask(id), loads); got == 0 {
				t.Fatalf("mode %d: request %d went to it", mode, id)
			}
		}
	}
	r := newRelay(t, settings(), 5, 3)
	r.do(WatchEvent{Kind: Snapshot, Endpoints: []Endpoint{{Server: 1, State: Ready}}})
	for id := RequestID(1); id < 10; id++ {
		if got := r.pass(time.Second).place(ask(id), map[ServerID]float64{1: 0.3}); got != 1 {
			t.Fatalf("left out of a whole list is gone, yet %d was chosen", got)
		}
	}
}

// Rule 4: whatever they have saved up and however they surge, all relays together keep to a part of the
// budget. Before, each relay saved a token and all spent theirs at once.
func TestAllRelaysTogetherSpareAColdBackend(t *testing.T) {
	for name, found := range map[string]Status{
		"told of its start":                OK,
		"found dead before":                ConnectFailed,
		"silent before, now holds nothing": TimedOut, // the list tells of its restart seconds later
	} {
		set, sent := settings(), 0
		set.Relays = 200
		for relay := range 200 {
			set.RelayIndex = relay
			r := newRelay(t, set, uint64(relay), 5)
			loads := map[ServerID]float64{0: 0.5, 1: 0.55, 2: 0.55, 3: 0.55, 4: 0.55}
			r.place(ask(1), loads) // 1/40 of a backend a connection
			r.pass(5 * time.Second)
			if found == OK {
				r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 0, State: Ready, StartedAt: time.Minute + 5*time.Second}}})
			} else {
				r.do(ProbeResult{Server: 0, Status: found, Report: NoLoadReport})
				r.do(ProbeResult{Server: 0, Report: LoadReport{Load: 0, InFlight: 0, ErrorsPerSecond: -1, CPUUtilization: -1}})
			}
			r.pass(2 * time.Second)
			loads[0] = 0 // it looks idle to everybody
			if r.place(ask(2), loads) == 0 {
				sent++
			}
		}
		// 20 connections fill it, it turns them over in 8 s at the most and stands at 0.44 of that: 3.3 in
		// the second that breaks the rule.
		if sent == 0 || sent > 5 {
			t.Errorf("%s: 200 relays sent a cold backend %d connections in one moment", name, sent)
		}
	}
}

// A relay that has just started and finds only cold backends must not take what their few connections
// weigh in the first moments for what a connection costs.
func TestARelayThatKnowsNothingSparesColdBackends(t *testing.T) {
	sent := 0
	for me := range 10 {
		set := settings()
		set.RelayIndex = me
		r := newRelay(t, set, uint64(me), 0)
		var list []Endpoint
		for i := range ServerID(6) {
			list = append(list, Endpoint{Server: i, State: Ready, StartedAt: r.now - time.Second})
		}
		r.do(WatchEvent{Kind: Snapshot, Endpoints: list})
		for id := RequestID(1); id <= 6; id++ {
			acts := r.pass(50 * ms).do(ask(id))
			for i := 0; i < len(acts); i++ {
				if p, ok := acts[i].(Probe); ok {
					acts = append(acts, r.do(ProbeResult{Server: p.Server, Latency: 2 * ms,
						Report: LoadReport{Load: 0.003, InFlight: 3, ErrorsPerSecond: -1, CPUUtilization: -1}})...)
				}
			}
			sent += len(all[Forward](acts))
		}
	}
	if sent > 12 { // about one connection a backend in the second that breaks the rule
		t.Errorf("ten new relays sent six cold backends %d connections in 0.3 s", sent)
	}
}

func TestBadBackendReturnsOnlyByAGoodProbe(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.6}
	for _, status := range []Status{Errored, TimedOut, Reset} {
		r := newRelay(t, settings(), 1, 2)
		if r.place(ask(1), loads) != 0 {
			t.Fatal("not placed on the least loaded")
		}
		r.do(Outcome{ID: 1, Server: 0, Status: status, Closed: true, Report: NoLoadReport})
		if got := all[Forward](r.do(ask(2))); len(got) == 1 && got[0].Server == 0 {
			t.Errorf("status %d: chosen right after it failed, its probe still unanswered", status)
		}
		back := false
		for id := RequestID(3); id < 40 && !back; id++ {
			back = r.pass(time.Second).place(ask(id), loads) == 0
		}
		if !back {
			t.Errorf("status %d: never came back in 37 s of good probes", status)
		}
	}
}

// Where a message was late work is piled up, whatever load is asked of the backend now.
func TestABackendWithLateMessagesCountsAsFull(t *testing.T) {
	set := settings()
	set.Relays = 1 // nobody else places anything, so the pick is the least loaded
	loads := map[ServerID]float64{0: 0.2, 1: 0.4}
	r := newRelay(t, set, 3, 2)
	on := r.place(ask(1), loads)
	r.open(1, on)
	r.answer(r.do(MessageDelay{ID: 1, Server: on, Delay: 400 * ms}), loads)
	if got := r.place(ask(2), loads); got != 1 {
		t.Errorf("placed on %d while its messages are late", got)
	}
	if got := r.pass(3*time.Second).place(ask(3), loads); got != 0 {
		t.Errorf("placed on %d, though the other has been in time for 3 s", got)
	}
}

// A dead backend must not cost a probe at every arrival.
func TestSilentBackendsAreProbedAfterABackoff(t *testing.T) {
	r := newRelay(t, settings(), 6, 5)
	loads, probes := map[ServerID]float64{1: 0.2, 2: 0.2, 3: 0.2, 4: 0.2}, 0 // 0 is silent
	for id := RequestID(1); id <= 40; id++ {
		for _, p := range all[Probe](r.answer(r.pass(readingFreshFor+ms).do(ask(id)), loads)) {
			if p.Server == 0 {
				probes++
			}
		}
	}
	if probes == 0 || probes > 25 {
		t.Errorf("a silent backend was probed %d times in 40 arrivals", probes)
	}
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

func TestMovesOffASilentBackendButNotWhenAllAreSilent(t *testing.T) {
	up := map[ServerID]float64{0: 0.6, 1: 0.6, 2: 0.55, 3: 0.55, 4: 0.55, 5: 0.55}
	r := holdOn(t, settings(), 4, up)
	one := map[ServerID]float64{1: 0.6, 2: 0.55, 3: 0.55, 4: 0.55, 5: 0.55}
	r.do(ProbeResult{Server: 2, Report: LoadReport{Load: 0.55, InFlight: 11, ErrorsPerSecond: -1, CPUUtilization: -1}})
	first := r.do(ProbeResult{Server: 0, Status: TimedOut, Report: NoLoadReport})
	if len(all[Migrate](first)) != 0 || len(all[Probe](first)) != 1 {
		t.Fatalf("at the first unanswered probe: %v, want another probe and no move", first)
	}
	r.do(ProbeResult{Server: 0, Report: LoadReport{Load: 0.6, InFlight: 12, ErrorsPerSecond: -1, CPUUtilization: -1}}) // a pause, no more
	moves := map[RequestID]bool{}
	for range 4 {
		for _, m := range all[Migrate](r.look(one)) {
			moves[m.ID] = true
		}
	}
	if len(moves) != 4 {
		t.Fatalf("%d moves off a silent backend with 4 connections", len(moves))
	}
	for id := range moves {
		if id%2 != 0 {
			t.Errorf("connection %d was moved off a backend that answers", id)
		}
	}
	r = holdOn(t, settings(), 4, up)
	for range 6 {
		if moved := all[Migrate](r.look(nil)); len(moved) > 0 {
			t.Fatalf("everything is silent, yet %d were moved", len(moved))
		}
	}
}

func TestMovesOnlyThePartInExcess(t *testing.T) {
	up := map[ServerID]float64{0: 0.6, 1: 0.6, 2: 0.5, 3: 0.5, 4: 0.5, 5: 0.5}
	r := holdOn(t, settings(), 100, up)
	hot := map[ServerID]float64{0: 1.0, 1: 0.6, 2: 0.55, 3: 0.55, 4: 0.55, 5: 0.55}
	if moved := len(all[Migrate](r.look(hot))); moved == 0 || moved > 60 {
		t.Errorf("%d of 100 moved at a look; want about the third that is in excess", moved)
	}
	// Reports that come late go on telling of an excess that is gone; where delays are told they decide.
	set := settings()
	set.ReportsMessageDelay = true
	r = holdOn(t, set, 100, up)
	for range 4 {
		if moved := all[Migrate](r.look(hot)); len(moved) > 0 {
			t.Fatalf("%d moves although no message was late", len(moved))
		}
	}
	if moved := all[Migrate](r.answer(r.do(MessageDelay{ID: 1000, Server: 0, Delay: 80 * ms}), hot)); len(moved) == 0 {
		t.Error("messages are late and load is high, yet nothing moves")
	}
}

// Nobody is admitted to a full fleet, and where there is a little room relays take only their part of it.
func TestAdmission(t *testing.T) {
	placed := func(load float64, relays int) (n int) {
		for seed := range uint64(50) {
			set := settings()
			set.Relays = relays
			r := newRelay(t, set, seed, 4)
			n += len(all[Forward](r.answer(r.do(ask(1)), map[ServerID]float64{0: load, 1: load, 2: load, 3: load})))
		}
		return n
	}
	if n := placed(0.9, 10); n != 0 {
		t.Errorf("%d of 50 admitted to a full fleet", n)
	}
	if n := placed(0.3, 10); n != 50 {
		t.Errorf("%d of 50 admitted to a fleet with room", n)
	}
	if n := placed(0.6, 100); n == 0 || n > 20 {
		t.Errorf("%d of 50 admitted to room for one in ten", n)
	}
}

func TestGroupsMeet(t *testing.T) {
	set := settings()
	set.GroupAffinity = true
	loads := map[ServerID]float64{}
	for i := range ServerID(12) {
		loads[i] = 0.1 + float64(i)/100
	}
	spots := map[ServerID]bool{}
	for group := uint64(1); group < 9; group++ {
		at := map[ServerID]bool{}
		for seed := range uint64(10) {
			r := newRelay(t, set, seed, 12)
			req := ask(1)
			req.Group = group
			on := r.place(req, loads)
			at[on], spots[on] = true, true
		}
		if len(at) != 1 {
			t.Errorf("group %d was spread over %d backends by ten relays", group, len(at))
		}
	}
	if len(spots) < 3 {
		t.Errorf("eight groups share %d backends", len(spots))
	}
	// In an overload a group must not take whatever has room: each further backend pays for it again.
	for i := range loads {
		loads[i] = 0.62
	}
	at := map[ServerID]bool{}
	for seed := range uint64(60) {
		r := newRelay(t, set, seed, 12)
		for i := range ServerID(12) { // everything is in the pool, all but the group's own with more room
			r.do(ProbeResult{Server: i, Report: LoadReport{Load: 0.3, InFlight: 6, ErrorsPerSecond: -1, CPUUtilization: -1}})
		}
		req := ask(1)
		req.Group = 5
		for _, id := range slices.Clone(r.b.dispatch.affinity.groupSubset(5, 1)) {
			r.do(ProbeResult{Server: id, Report: LoadReport{Load: 0.62, InFlight: 12, ErrorsPerSecond: -1, CPUUtilization: -1}})
		}
		if on := r.place(req, loads); on >= 0 {
			at[on] = true
		}
	}
	if len(at) == 0 || len(at) > probesPerPlacement {
		t.Errorf("a loaded group was spread over %d backends", len(at))
	}
}

func TestSpillsOnlyWhenHomeCostsMoreThanCrossing(t *testing.T) {
	for _, c := range []struct {
		home, away float64
		want       bool
	}{{0.3, 0.05, false}, {0.62, 0.1, true}, {0.45, 0.4, false}, {0.55, 0.52, false}} {
		r := newRelay(t, settings(), 2, 2)
		r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 2, State: Ready, Zone: 1}, {Server: 3, State: Ready, Zone: 1}}})
		got := r.place(ask(1), map[ServerID]float64{0: c.home, 1: c.home, 2: c.away, 3: c.away})
		if (got >= 2) != c.want {
			t.Errorf("home at %v, away at %v: placed on %d", c.home, c.away, got)
		}
	}
}

func TestDiscoveryIsAskedForWithSpreadAndBackoff(t *testing.T) {
	set := settings()
	set.MustSubscribe = true
	starts := map[time.Duration]bool{}
	for me := range 10 {
		set.RelayIndex = me
		b := New(set, 1)
		timers := all[Timer](b.Handle(time.Minute, WatchEvent{Kind: Cached}, nil))
		if len(timers) != 1 || timers[0].After > set.Rules.PollWithin/2 {
			t.Fatalf("relay %d asks with %v", me, timers)
		}
		starts[timers[0].After] = true
		if got := all[Subscribe](b.Handle(time.Minute+timers[0].After, TimerFired{Token: timers[0].Token}, nil)); len(got) != 1 {
			t.Fatal("did not subscribe")
		}
		for range 8 {
			timers = all[Timer](b.Handle(2*time.Minute, WatchEvent{Kind: WatchFailed}, nil))
			if len(timers) != 1 || timers[0].After > 3*time.Second { // of the 6 s in which news has to come
				t.Fatalf("after a failed call: %v", timers)
			}
		}
	}
	if len(starts) < 8 {
		t.Errorf("ten relays ask at %d different times", len(starts))
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() (log []Action) {
		r := newRelay(t, settings(), 77, 9)
		loads := map[ServerID]float64{0: 0.2, 1: 0.3, 2: 0.4, 5: 0.2, 7: 0.6}
		for id := RequestID(1); id < 60; id++ {
			acts := r.answer(r.pass(90*ms).do(ask(id)), loads)
			for _, s := range all[Forward](acts) {
				if id%5 == 0 {
					acts = append(acts, r.do(Outcome{ID: id, Server: s.Server, Status: Reset, Report: NoLoadReport})...)
				}
			}
			log = append(log, acts...)
		}
		return log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("the same events brought other actions")
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for _, set := range []Settings{{}, {Relays: -3, Zones: -1, Zone: 7, MaxAttempts: -2},
		{Classes: []ClassInfo{{}}, Rules: Rules{SlowStartCapacity: 9, SlowStartWindow: -1}, Probes: true}} {
		r := newRelay(t, set, 1, 3)
		r.do(WatchEvent{Kind: Delta, Endpoints: []Endpoint{{Server: 1, State: Ready, StartedAt: r.now, Zone: 99}}})
		acts := r.answer(r.do(Request{ID: 1, Class: 5, Tenant: 8, TimeLeft: time.Second}), map[ServerID]float64{0: 0.1, 2: 0.1})
		acts = append(acts, r.pass(time.Second).do(TimerFired{Token: 1 * timerKinds})...)
		if len(all[Forward](acts))+len(all[Reject](acts))+len(all[Fail](acts)) != 1 {
			t.Errorf("%+v: %v", set, acts)
		}
	}
}

// What the relay itself finds out of its servers is no answer of discovery: the back-off after failed calls goes on.
func TestRevisedListIsNoAnswer(t *testing.T) {
	r := newRelay(t, settings(), 1, 2)
	for range 3 {
		r.do(WatchEvent{Kind: WatchFailed})
	}
	r.do(WatchEvent{Kind: LocalDelta, Endpoints: []Endpoint{{Server: 0, State: Draining}}})
	if r.b.polling.consecutivePollFailures != 3 {
		t.Errorf("%d failed calls are reckoned with, not 3", r.b.polling.consecutivePollFailures)
	}
	if r.b.endpoints.listedCount() != 1 {
		t.Errorf("%d backends may be given something, not 1", r.b.endpoints.listedCount())
	}
	r.do(WatchEvent{Kind: Delta})
	if r.b.polling.consecutivePollFailures != 0 {
		t.Errorf("%d failed calls are reckoned with after an answer", r.b.polling.consecutivePollFailures)
	}
}

// On real sockets no note tells of late messages: one hot backend in an idle fleet once went unseen until a
// request happened to probe it.
func TestWatchesOneHotBackendWhereNothingTellsOfDelays(t *testing.T) {
	loads := map[ServerID]float64{0: 0.8, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1, 5: 0.1}
	for _, tells := range []bool{false, true} {
		set := settings()
		set.ReportsMessageDelay = tells
		r := holdOn(t, set, 4, loads)
		for on := range ServerID(2) { // where none has been read yet, that is reason enough to look
			r.do(ProbeResult{Server: on, Report: LoadReport{Load: loads[on], InFlight: 16, ErrorsPerSecond: -1, CPUUtilization: -1}})
		}
		probes := all[Probe](r.pass(loadWatchInterval).do(TimerFired{Token: timerLoadWatch}))
		if got := len(probes) == 1 && probes[0].Server == 0; got == tells {
			t.Errorf("delays told: %v, probes of the watch: %v", tells, probes)
		}
	}
}

// A relay that holds few of the connections learnt from its own that each takes a sixth of a backend, and refused
// most of what came from another at that one's restart. The tenants' quotas bound what it may believe. One
// that has just started, and has learnt nothing, sent 41 in a row to one backend: they stand for it in a pick.
func TestQuotasBoundWhatAConnectionAdds(t *testing.T) {
	set := settings()
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 60, 60
	r := newRelay(t, set, 1, 5)
	mean := quotaCapacityShare * 5 / 120.0
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1}
	counts := map[ServerID]int{}
	for id := RequestID(1); id <= 20; id++ {
		for _, s := range all[Forward](r.answer(r.do(ask(id)), loads)) {
			counts[s.Server]++
		}
	}
	for on, n := range counts {
		if n > 8 {
			t.Errorf("a fresh relay sent %d of 20 to backend %d", n, on)
		}
	}
	r.b.load.learnedLoadPerConnection, r.b.requests.ownConnections = 0, 3
	for range 50 {
		r.b.load.learnLoadPerConnection(&serverState{slowStart: slowStart{startedAt: -1}, reading: reading{load: 0.6}}, NoLoadReport)
	}
	if got := r.b.load.learnedLoadPerConnection; got < mean || got > maxLoadOverQuotaMean*mean+1e-9 {
		t.Errorf("a connection adds %.3f, by the quotas about %.3f", got, mean)
	}
}

// A draining server answers probes with errors seconds before the list tells of it, and serves on what is open there.
// All its connections were once moved at a stroke, onto servers that had no room for them yet.
func TestAServerThatErrsKeepsItsConnections(t *testing.T) {
	r := holdOn(t, settings(), 4, map[ServerID]float64{0: 0.6, 1: 0.6, 2: 0.1, 3: 0.1, 4: 0.1, 5: 0.1})
	on := ServerID(0)
	var acts []Action
	for range 4 {
		acts = append(acts, r.pass(200*ms).do(ProbeResult{Server: on, Status: Errored, Latency: ms, Report: NoLoadReport})...)
	}
	if moves := all[Migrate](acts); len(moves) > 0 {
		t.Errorf("%d were moved off a server that answers", len(moves))
	}
	if !r.b.endpoints.servers[on].health.ejected {
		t.Error("an erring server is still given new connections")
	}
}

// A report is up to a second old when it is read. Twenty placed within 300 ms once counted for nothing after a
// probe that brought the old figure again, and the server's overload went unseen for 4 s.
func TestAnOldReadingDoesNotHidePlacements(t *testing.T) {
	r := newRelay(t, settings(), 1, 1)
	r.b.load.learnedLoadPerConnection = 0.05
	loads := map[ServerID]float64{0: 0.1}
	for id := RequestID(1); id <= 4; id++ {
		r.place(ask(id), loads)
	}
	read := func() float64 {
		r.do(ProbeResult{Server: 0, Latency: ms, Report: LoadReport{Load: 0.1, InFlight: 2, ErrorsPerSecond: -1, CPUUtilization: -1}})
		return r.b.load.estimatedLoad(&r.b.endpoints.servers[0])
	}
	if got := r.pass(loadReportDelay / 2); read() < 0.2 {
		t.Errorf("%v after four placements: %v", loadReportDelay/2, r.b.load.estimatedLoad(&got.b.endpoints.servers[0]))
	}
	if r.pass(loadReportDelay); read() > 0.11 {
		t.Error("placements are counted beside a reading that counts them")
	}
}

// For its first second or two a server has no report yet. That was taken for a load of 0: clients were moved off a
// server at 1.04 onto one with three times its connections. It stays to be read, and counts what is held there.
func TestAServerWithoutAReportIsNotIdle(t *testing.T) {
	set := settings()
	set.Relays, set.Tenants[0].ConnectionQuota = 3, 60
	r := newRelay(t, set, 1, 2)
	for id := RequestID(1); id <= 10; id++ {
		r.do(Inherited{Request: ask(id), Server: 0})
	}
	r.do(ProbeResult{Server: 0, Latency: ms, Report: NoLoadReport})
	r.do(ProbeResult{Server: 1, Latency: ms, Report: LoadReport{Load: 0.3, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}})
	if got := all[Forward](r.do(ask(20))); len(got) != 1 || got[0].Server != 1 {
		t.Errorf("placed as %v beside a server that holds ten and has no report", got)
	}
	probes := all[Probe](r.pass(2 * loadWatchInterval).do(TimerFired{Token: timerLoadWatch}))
	if !slices.Contains(probes, Probe{Server: 0}) {
		t.Errorf("the watch asks %v, not the server without a report", probes)
	}
}

// A look that comes before the next report must not move off a server once more what has just left it.
func TestOneExcessIsMovedOnce(t *testing.T) {
	set := settings()
	set.Relays, set.Tenants[0].ConnectionQuota, set.ReportsMessageDelay = 1, 100, false
	r := newRelay(t, set, 1, 4)
	for id := RequestID(1); id <= 30; id++ {
		r.do(Inherited{Request: ask(id), Server: 0})
	}
	moved := 0
	for range 4 {
		r.pass(loadReportDelay / 5)
		for on, load := range []float64{1, 0.1, 0.1, 0.1} {
			for _, m := range all[Migrate](r.do(ProbeResult{Server: ServerID(on), Latency: ms, Report: LoadReport{Load: load, InFlight: load * 30, ErrorsPerSecond: -1, CPUUtilization: -1}})) {
				moved++
				r.do(Outcome{ID: m.ID, Server: 0, Status: Cancelled, Closed: true})
			}
		}
	}
	if moved < 5 || moved > 14 {
		t.Errorf("%d of 30 were moved off a server at 1.0; about 11 bring it to 0.65", moved)
	}
}
