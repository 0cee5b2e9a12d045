package decide

import (
	"testing"
	"time"
)

func TestOneRetryElsewhereAfterJitteredBackoff(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.2, 2: 0.3, 3: 0.3}
	waits := map[time.Duration]bool{}
	for seed := range uint64(20) {
		r := newRelay(t, settings(), seed, 4)
		first := r.place(newRequest(1), loads)
		acts := r.advance(10 * ms).handle(Outcome{ID: 1, Server: first, Status: Reset, Report: NoLoadReport})
		timers := actionsOf[Timer](acts)
		if len(timers) != 1 || timers[0].After > 75*ms {
			t.Fatalf("actions after a failed attempt: %v, want a backoff of at most 75 ms", acts)
		}
		waits[timers[0].After] = true
		acts = r.answerProbes(r.advance(timers[0].After).handle(TimerFired{Token: timers[0].Token}), loads)
		sends := actionsOf[Forward](acts)
		if len(sends) != 1 || sends[0].Server == first {
			t.Fatalf("actions after the backoff: %v, want an attempt on another server than %d", acts, first)
		}
		acts = r.advance(10 * ms).handle(Outcome{
			ID:      1,
			Attempt: 1,
			Server:  sends[0].Server,
			Status:  Reset,
			Report:  NoLoadReport,
		})
		if len(actionsOf[Reject](acts)) != 1 || len(actionsOf[Timer](acts)) != 0 {
			t.Fatalf("actions after two failed attempts: %v, want a rejection", acts)
		}
	}
	if len(waits) < 10 {
		t.Errorf("backoffs of 20 relays: %v, want at least 10 different ones", waits)
	}
}

// A surge of failures of one tenant must not use up the retries of another.
func TestRetryBudgetIsPerTenant(t *testing.T) {
	r := newRelay(t, settings(), 1, 8)
	loads := map[ServerID]float64{}
	for i := range ServerID(8) {
		loads[i] = 0.1
	}
	fail := func(id RequestID, tenant Tenant) (retried bool) {
		req := newRequest(id)
		req.Tenant = tenant
		on := r.advance(5*time.Second).place(req, loads)
		if on < 0 {
			t.Fatalf("request %d was not placed", id)
		}
		return len(actionsOf[Timer](r.handle(Outcome{
			ID:     id,
			Server: on,
			Status: AtCapacity,
			Report: NoLoadReport,
		}))) == 1
	}
	retries := 0
	for id := RequestID(1); id <= 20; id++ {
		if fail(id, 0) {
			retries++
		}
	}
	if retries < int(maxRetryTokens) || retries > 6 {
		t.Errorf("%d of 20 failures were retried, want the saved tokens and a fifth of the rest", retries)
	}
	if !fail(21, 1) {
		t.Error("a failure of another tenant was not retried: its tokens were used up")
	}
}

func TestIdempotencyDecidesRetryRejectOrFail(t *testing.T) {
	cases := []struct {
		name   string
		class  Class
		status Status
		retry  bool
		reject bool // after the last attempt
	}{
		{"idempotent, may have run", 0, Reset, true, true},
		{"not idempotent, never ran", 1, AtCapacity, true, true},
		{"not idempotent, may have run", 1, Errored, false, false},
		{"keyed, never ran", 2, ConnectFailed, true, true},
		{"keyed, may have run", 2, Reset, true, false},
	}
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1}
	for _, c := range cases {
		for seed := range uint64(12) {
			r := newRelay(t, settings(), seed, 4)
			req := newRequest(1)
			req.Class = c.class
			on := r.place(req, loads)
			acts := r.handle(Outcome{ID: 1, Server: on, Status: c.status, Report: NoLoadReport})
			timers := actionsOf[Timer](acts)
			if (len(timers) == 1) != c.retry {
				t.Fatalf("%s: actions %v, retried other than wanted", c.name, acts)
			}
			if c.retry {
				acts = r.answerProbes(
					r.advance(timers[0].After).handle(TimerFired{Token: timers[0].Token}), loads)
				for _, s := range actionsOf[Forward](acts) {
					if c.class == 2 && !c.status.NeverRan() && s.Server/2 != on/2 {
						t.Fatalf("%s: retried on a server outside the cell", c.name)
					}
					acts = r.handle(Outcome{
						ID:      1,
						Attempt: 1,
						Server:  s.Server,
						Status:  c.status,
						Report:  NoLoadReport,
					})
				}
			}
			if len(actionsOf[Reject](acts)) == 1 != c.reject || len(actionsOf[Fail](acts)) == 1 == c.reject {
				t.Fatalf("%s: ended with %v, want the other final answer", c.name, acts)
			}
		}
	}
}

func TestRetryBudgetIsATokenBucket(t *testing.T) {
	b := newRetryBudget(2)
	for range int(maxRetryTokens) {
		if !b.hasToken(0) {
			t.Fatal("a full bucket has fewer than maxRetryTokens tokens")
		}
		b.spendToken(0)
	}
	if b.hasToken(0) || !b.hasToken(1) || !b.hasToken(2) {
		t.Fatal("after spending the tokens of tenant 0, want its bucket empty and the two others full")
	}
	for n := 1; !b.hasToken(0); n++ {
		if b.addTokens(0); n > 6 {
			t.Fatalf("no retry token after %d requests, want one after at most 6", n)
		}
	}
	for range 100 {
		b.addTokens(0)
	}
	if got := b.retryTokens[0]; got != maxRetryTokens {
		t.Errorf("%.1f tokens after 100 requests, want maxRetryTokens", got)
	}
}

func TestBackoffDoublesWithinItsBound(t *testing.T) {
	env := testEnvironment(settings())
	longest := func(failures int) (most time.Duration) {
		for range 400 {
			wait := env.jitteredBackoff(100*ms, failures, time.Second)
			if wait < 0 || wait > time.Second {
				t.Fatalf("backoff after %d failures: %v, want 0 to 1 s", failures, wait)
			}
			most = max(most, wait)
		}
		return most
	}
	for _, c := range []struct {
		failures int
		limit    time.Duration
	}{{-2, 100 * ms}, {0, 100 * ms}, {1, 200 * ms}, {3, 800 * ms}, {4, time.Second}, {1000, time.Second}} {
		if got := longest(c.failures); got > c.limit || got < c.limit*9/10 {
			t.Errorf("longest backoff after %d failures: %v, want nearly %v", c.failures, got, c.limit)
		}
	}
}
