package decide

import (
	"testing"
	"time"
)

func TestPlacesOnTheLeastLoadedReading(t *testing.T) {
	r := newRelay(t, settings(), 1, 4)
	loads := map[ServerID]float64{0: 0.5, 1: 0.3, 2: 0.1, 3: 0.4}
	if got := r.place(newRequest(1), loads); got != 2 {
		t.Fatalf("placed on server %d, want 2, the least loaded", got)
	}
	// A connection adds 0.05: own placements since the reading count, until server 2 is not the least loaded.
	counts := map[ServerID]int{}
	for id := RequestID(2); id < 9; id++ {
		for _, s := range actionsOf[Forward](r.handle(newRequest(id))) {
			counts[s.Server]++
		}
	}
	if counts[2] < 3 || counts[1] == 0 || counts[0] != 0 {
		t.Errorf("requests by server: %v, want at least 3 on server 2, some on 1 and none on 0", counts)
	}
}

func TestTiesBreakAtRandomAndUnprobedStayOut(t *testing.T) {
	seen := map[ServerID]bool{}
	for seed := range uint64(40) {
		r := newRelay(t, settings(), seed, 4)
		seen[r.place(newRequest(1), map[ServerID]float64{0: 0.2, 1: 0.2})] = true // 2 and 3 never answer
	}
	if !seen[0] || !seen[1] || seen[2] || seen[3] {
		t.Errorf("picked servers %v, want both of the tied servers and none without a reading", seen)
	}
}

// Without any reading a request goes to a server at random, to ejected servers last. An empty pool alone does
// not cause a rejection.
func TestEmptyPoolFallsBackGently(t *testing.T) {
	for name, n := range map[string]int{"silent fleet": 4, "empty list": 0} {
		r := newRelay(t, settings(), 3, n)
		acts := r.answerProbes(r.handle(newRequest(1)), nil)
		acts = append(acts, r.advance(time.Second).handle(TimerFired{Token: timerRequest.token(1)})...)
		sends, refused := len(actionsOf[Forward](acts)), len(actionsOf[Reject](acts))
		if n > 0 && sends != 1 || n == 0 && refused != 1 {
			t.Errorf(
				"%s: %d forwards and %d rejections, want one forward, or one rejection if the list is empty",
				name, sends, refused)
		}
	}
}

func TestSpillsOnlyWhenHomeCostsMoreThanCrossing(t *testing.T) {
	for _, c := range []struct {
		home, away float64
		want       bool
	}{{0.3, 0.05, false}, {0.62, 0.1, true}, {0.45, 0.4, false}, {0.55, 0.52, false}} {
		r := newRelay(t, settings(), 2, 2)
		r.handle(WatchEvent{
			Kind:      Delta,
			Endpoints: []Endpoint{{Server: 2, State: Ready, Zone: 1}, {Server: 3, State: Ready, Zone: 1}},
		})
		got := r.place(newRequest(1), map[ServerID]float64{0: c.home, 1: c.home, 2: c.away, 3: c.away})
		if (got >= 2) != c.want {
			t.Errorf("load %v in the home zone and %v in the other: placed on server %d, the wrong zone",
				c.home, c.away, got)
		}
	}
}

// A server that answers probes with errors is draining, though the endpoint list may show it only seconds
// later: it gets no new attempts, even if no other server is left. A server that does not answer may only be
// slow, and is the last resort.
func TestFallbackSkipsServersThatAnswerWithErrors(t *testing.T) {
	for status, want := range map[Status]int{Errored: 0, TimedOut: 20} {
		r := newRelay(t, settings(), 3, 2)
		sent := 0
		for id := RequestID(1); id <= 21; id++ {
			acts := r.advance(1500 * ms).handle(newRequest(id))
			for i := 0; i < len(acts); i++ {
				switch a := acts[i].(type) {
				case Probe:
					acts = append(acts, r.handle(ProbeResult{
						Server:  a.Server,
						Status:  status,
						Latency: 9 * ms,
						Report:  NoLoadReport,
					})...)
				case Timer:
					acts = append(acts, r.advance(a.After).handle(TimerFired{Token: a.Token})...)
				case Forward:
					sent++
					r.handle(Outcome{
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
			t.Errorf(
				"probes end with %v: %d forwards, want none after errors and at least 20 after time-outs",
				status, sent)
		}
	}
}

// Requests that reach many relays between two load reports must not all go to the server with the lowest
// reading.
func TestLargeFleetsDoNotAllPickTheLeastLoaded(t *testing.T) {
	loads, placed := map[ServerID]float64{0: 0.2, 1: 0.25, 2: 0.25, 3: 0.25}, map[ServerID]int{}
	for relay := range 80 {
		set := settings()
		set.Relays, set.RelayIndex, set.Prices.CrossZone = 80, relay, 1
		set.Tenants[0].ConnectionQuota = 100
		r := newRelay(t, set, uint64(relay), 4)
		r.advance(4 * time.Second) // the last request came 4 s ago
		placed[r.place(newRequest(1), loads)]++
	}
	if placed[0] > 80*6/10 {
		t.Errorf("%d of 80 requests on the least loaded of four servers, want at most 48: %v",
			placed[0], placed)
	}
}
