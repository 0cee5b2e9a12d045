package decide

import (
	"testing"
	"time"
)

func TestEjectedServerReturnsOnlyByASuccessfulProbe(t *testing.T) {
	loads := map[ServerID]float64{0: 0.1, 1: 0.6}
	for _, status := range []Status{Errored, TimedOut, Reset} {
		r := newRelay(t, settings(), 1, 2)
		if r.place(newRequest(1), loads) != 0 {
			t.Fatal("not placed on the least loaded")
		}
		r.do(Outcome{ID: 1, Server: 0, Status: status, Closed: true, Report: NoLoadReport})
		if got := actionsOf[Forward](r.do(newRequest(2))); len(got) == 1 && got[0].Server == 0 {
			t.Errorf("status %d: chosen right after it failed, its probe still unanswered", status)
		}
		back := false
		for id := RequestID(3); id < 40 && !back; id++ {
			back = r.advance(time.Second).place(newRequest(id), loads) == 0
		}
		if !back {
			t.Errorf("status %d: never came back in 37 s of good probes", status)
		}
	}
}

// A dead server must not cost a probe at every arrival.
func TestSilentServerIsProbedAfterBackoff(t *testing.T) {
	r := newRelay(t, settings(), 6, 5)
	loads, probes := map[ServerID]float64{1: 0.2, 2: 0.2, 3: 0.2, 4: 0.2}, 0 // 0 is silent
	for id := RequestID(1); id <= 40; id++ {
		acts := r.answer(r.advance(readingTTL+ms).do(newRequest(id)), loads)
		for _, p := range actionsOf[Probe](acts) {
			if p.Server == 0 {
				probes++
			}
		}
	}
	if probes == 0 || probes > 25 {
		t.Errorf("a silent server was probed %d times in 40 arrivals", probes)
	}
}

// A draining server answers probes with errors seconds before the list tells of it, and serves on what is
// open there. All its connections were once migrated at a stroke, onto servers that had no room for them
// yet.
func TestServerThatAnswersWithErrorsKeepsItsConnections(t *testing.T) {
	r := withConnections(t, settings(), 4, map[ServerID]float64{
		0: 0.6,
		1: 0.6,
		2: 0.1,
		3: 0.1,
		4: 0.1,
		5: 0.1,
	})
	on := ServerID(0)
	var acts []Action
	for range 4 {
		acts = append(acts, r.advance(200*ms).do(ProbeResult{
			Server:  on,
			Status:  Errored,
			Latency: ms,
			Report:  NoLoadReport,
		})...)
	}
	if moves := actionsOf[Migrate](acts); len(moves) > 0 {
		t.Errorf("%d were migrated off a server that answers", len(moves))
	}
	if !r.b.endpoints.servers[on].health.ejected {
		t.Error("an erring server is still given new connections")
	}
}

func newTestOutliers() (*outlierRule, *serverState) {
	env := testEnvironment(settings())
	rule := &outlierRule{environment: env, timeouts: &setupTimeouts{environment: env}}
	return rule, newEndpointSet(1).stateOf(0)
}

func TestWhichAttemptsEject(t *testing.T) {
	for _, c := range []struct {
		status  Status
		phase   requestPhase
		ejected bool
	}{
		{Errored, phaseInFlight, true},
		{ConnectFailed, phaseInFlight, true},
		{TimedOut, phaseInFlight, true},
		{Reset, phaseInFlight, true},
		{Reset, phaseOpen, true},
		{TimedOut, phaseOpen, false},
		{Errored, phaseDone, false},
		{AtCapacity, phaseInFlight, false},
		{Cancelled, phaseInFlight, false},
		{Superseded, phaseInFlight, false},
		{OK, phaseOpen, false},
	} {
		rule, s := newTestOutliers()
		s.reading.at = rule.now
		rule.recordAttempt(s, c.status, c.phase)
		if s.health.ejected != c.ejected {
			t.Errorf("%v in phase %d: ejected %v", c.status, c.phase, s.health.ejected)
		}
		if outOfPool := c.ejected || c.status == AtCapacity; s.reading.usable() == outOfPool {
			t.Errorf("%v in phase %d: reading usable %v", c.status, c.phase, s.reading.usable())
		}
	}
}

// A server that answers fast with errors answers probes well: a good probe alone does not bring it back.
func TestErroringServerStaysEjectedForItsTime(t *testing.T) {
	rule, s := newTestOutliers()
	rule.recordAttempt(s, Errored, phaseInFlight)
	s.health.ejectedUntil = rule.now + time.Second
	rule.recordProbeSuccess(s, 0.5, 0.5)
	if !s.health.ejected {
		t.Fatal("back before its time")
	}
	rule.begin(rule.now+time.Second, nil)
	rule.recordProbeSuccess(s, 0.5, 0.5)
	if s.health.ejected {
		t.Error("not back after its time")
	}
}

func TestMissedProbesTellErrorsFromSilence(t *testing.T) {
	rule, s := newTestOutliers()
	rule.recordProbeFailure(s, TimedOut)
	if s.health.silent() || s.health.answersWithErrors() {
		t.Error("one unanswered probe is a verdict")
	}
	rule.recordProbeFailure(s, TimedOut)
	if !s.health.silent() {
		t.Error("two unanswered probes are none")
	}
	rule.recordProbeFailure(s, Errored)
	if s.health.silent() || !s.health.answersWithErrors() {
		t.Error("one that answers with an error is silent")
	}
	if rule.recordProbeSuccess(s, 0.5, 0.5); s.health.missedProbes != 0 || s.health.ejected {
		t.Error("a good probe does not clear what was missed")
	}
}

// It holds next to nothing after a failure: a new process, though the endpoint list does not say so yet.
func TestEmptyServerAfterAFailureIsInSlowStart(t *testing.T) {
	for load, want := range map[float64]bool{0.1: true, 0.4: false} {
		rule, s := newTestOutliers()
		rule.recordProbeFailure(s, TimedOut)
		rule.recordProbeSuccess(s, load, 0.5)
		if got := s.slowStart.startedAt >= 0; got != want {
			t.Errorf("back with a load of %.1f in a pool at 0.5: in slow start %v", load, got)
		}
	}
}
