package decide

import (
	"testing"
	"time"
)

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
