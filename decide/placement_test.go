package decide

import (
	"testing"
	"time"
)

func TestPlacesOnTheLeastLoadedReading(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	loads := map[ServerID]float64{0: 0.5, 1: 0.3, 2: 0.1, 3: 0.4}
	if got := r.place(newRequest(1), loads); got != 2 {
		t.Fatalf("placed on %d, not on the least loaded", got)
	}
	// 0.05 a connection: own placements since the readings count until 2 is no longer the least.
	counts := map[ServerID]int{}
	for id := RequestID(2); id < 9; id++ {
		for _, s := range actionsOf[Forward](r.do(newRequest(id))) {
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
		seen[r.place(newRequest(1), map[ServerID]float64{0: 0.2, 1: 0.2})] = true // 2 and 3 never answer
	}
	if !seen[0] || !seen[1] || seen[2] || seen[3] {
		t.Errorf("picked %v; want both of the tied servers and none without a reading", seen)
	}
}

// With no reading at all the request goes to a server at random, ejected ones last; an empty pool alone
// rejects nobody.
func TestEmptyPoolFallsBackGently(t *testing.T) {
	for name, n := range map[string]int{"silent fleet": 4, "empty list": 0} {
		r := newRelay(t, settings(), 3, n)
		acts := r.answer(r.do(newRequest(1)), nil)
		acts = append(acts, r.advance(time.Second).do(TimerFired{Token: timerRequest.token(1)})...)
		sends, refused := len(actionsOf[Forward](acts)), len(actionsOf[Reject](acts))
		if n > 0 && sends != 1 || n == 0 && refused != 1 {
			t.Errorf("%s: %d sends, %d rejections", name, sends, refused)
		}
	}
}

func TestSpillsOnlyWhenHomeCostsMoreThanCrossing(t *testing.T) {
	for _, c := range []struct {
		home, away float64
		want       bool
	}{{0.3, 0.05, false}, {0.62, 0.1, true}, {0.45, 0.4, false}, {0.55, 0.52, false}} {
		r := newRelay(t, settings(), 2, 2)
		r.do(WatchEvent{
			Kind:      Delta,
			Endpoints: []Endpoint{{Server: 2, State: Ready, Zone: 1}, {Server: 3, State: Ready, Zone: 1}},
		})
		got := r.place(newRequest(1), map[ServerID]float64{0: c.home, 1: c.home, 2: c.away, 3: c.away})
		if (got >= 2) != c.want {
			t.Errorf("home at %v, away at %v: placed on %d", c.home, c.away, got)
		}
	}
}

// A server that answers probes with an error drains, though the list may tell so only seconds later:
// nothing goes there, not even where nobody else is left. One that answers nothing may be slow, and is the
// last resort.
func TestFallbackSkipsServersThatAnswerWithErrors(t *testing.T) {
	for status, want := range map[Status]int{Errored: 0, TimedOut: 20} {
		r := newRelay(t, settings(), 3, 2)
		sent := 0
		for id := RequestID(1); id <= 21; id++ {
			acts := r.advance(1500 * ms).do(newRequest(id))
			for i := 0; i < len(acts); i++ {
				switch a := acts[i].(type) {
				case Probe:
					acts = append(acts, r.do(ProbeResult{
						Server:  a.Server,
						Status:  status,
						Latency: 9 * ms,
						Report:  NoLoadReport,
					})...)
				case Timer:
					acts = append(acts, r.advance(a.After).do(TimerFired{Token: a.Token})...)
				case Forward:
					sent++
					r.do(Outcome{
						ID:     a.ID,
						Server: a.Server,
						Status: AtCapacity,
						Closed: true,
						Report: NoLoadReport,
					})
				}
				if i > 200 {
					break
				}
			}
		}
		if sent < want || want == 0 && sent > 0 {
			t.Errorf("%v to each probe: %d sends", status, sent)
		}
	}
}

// Requests that reach many relays between two reports must not all meet on the server that read least.
func TestLargeFleetsDoNotAllPickTheLeastLoaded(t *testing.T) {
	loads, on := map[ServerID]float64{0: 0.2, 1: 0.25, 2: 0.25, 3: 0.25}, map[ServerID]int{}
	for relay := range 80 {
		set := settings()
		set.Relays, set.RelayIndex, set.Prices.CrossZone = 80, relay, 1
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, uint64(relay), 4)
		r.advance(4 * time.Second) // the last request came 4 s ago
		on[r.place(newRequest(1), loads)]++
	}
	if on[0] > 80*6/10 {
		t.Errorf("%d of 80 on the least loaded of four: %v", on[0], on)
	}
}
