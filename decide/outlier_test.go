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
			t.Fatal("request 1 was not placed on server 0, the least loaded")
		}
		r.handle(Outcome{ID: 1, Server: 0, Status: status, Closed: true, Report: NoLoadReport})
		if got := actionsOf[Forward](r.handle(newRequest(2))); len(got) == 1 && got[0].Server == 0 {
			t.Errorf("status %d: server 0 was chosen after its failure, before a probe succeeded", status)
		}
		returned := false
		for id := RequestID(3); id < 40 && !returned; id++ {
			returned = r.advance(time.Second).place(newRequest(id), loads) == 0
		}
		if !returned {
			t.Errorf("status %d: server 0 was not chosen again within 37 s of successful probes", status)
		}
	}
}

// A dead server must not be probed at every arrival.
func TestSilentServerIsProbedAfterBackoff(t *testing.T) {
	r := newRelay(t, settings(), 6, 5)
	loads, probes := map[ServerID]float64{1: 0.2, 2: 0.2, 3: 0.2, 4: 0.2}, 0 // 0 is silent
	for id := RequestID(1); id <= 40; id++ {
		acts := r.answerProbes(r.advance(readingTTL+ms).handle(newRequest(id)), loads)
		for _, p := range actionsOf[Probe](acts) {
			if p.Server == 0 {
				probes++
			}
		}
	}
	if probes == 0 || probes > 25 {
		t.Errorf("a silent server was probed %d times in 40 arrivals, want 1 to 25", probes)
	}
}

// A draining server answers probes with errors seconds before the endpoint list shows that it drains, and
// still serves its open connections. Guards against migrating all of them at once, onto servers without the
// capacity for them yet.
func TestServerThatAnswersWithErrorsKeepsItsConnections(t *testing.T) {
	r := newRelayWithConnections(t, settings(), 4, map[ServerID]float64{
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
		acts = append(acts, r.advance(200*ms).handle(ProbeResult{
			Server:  on,
			Status:  Errored,
			Latency: ms,
			Report:  NoLoadReport,
		})...)
	}
	if moves := actionsOf[Migrate](acts); len(moves) > 0 {
		t.Errorf("%d connections migrated off a server that answers probes with errors, want none",
			len(moves))
	}
	if !r.b.endpoints.servers[on].health.ejected {
		t.Error("a server that answers probes with errors is not ejected")
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
			t.Errorf("status %v in phase %d: ejected %v, want the opposite",
				c.status, c.phase, s.health.ejected)
		}
		if outOfPool := c.ejected || c.status == AtCapacity; s.reading.usable() == outOfPool {
			t.Errorf("status %v in phase %d: reading usable %v, want the opposite",
				c.status, c.phase, s.reading.usable())
		}
	}
}

// A server that quickly answers attempts with errors also answers probes well: a successful probe before
// ejectedUntil does not end its ejection.
func TestErroringServerStaysEjectedForItsTime(t *testing.T) {
	rule, s := newTestOutliers()
	rule.recordAttempt(s, Errored, phaseInFlight)
	s.health.ejectedUntil = rule.now + time.Second
	rule.recordProbeSuccess(s, 0.5, 0.5)
	if !s.health.ejected {
		t.Fatal("the ejection ended before ejectedUntil")
	}
	rule.begin(rule.now+time.Second, nil)
	rule.recordProbeSuccess(s, 0.5, 0.5)
	if s.health.ejected {
		t.Error("the ejection did not end with a successful probe at ejectedUntil")
	}
}

func TestMissedProbesTellErrorsFromSilence(t *testing.T) {
	rule, s := newTestOutliers()
	rule.recordProbeFailure(s, TimedOut)
	if s.health.silent() || s.health.answersWithErrors() {
		t.Error("a server counts as silent or erroring after one unanswered probe")
	}
	rule.recordProbeFailure(s, TimedOut)
	if !s.health.silent() {
		t.Error("a server does not count as silent after two unanswered probes")
	}
	rule.recordProbeFailure(s, Errored)
	if s.health.silent() || !s.health.answersWithErrors() {
		t.Error("after a probe answered with an error, a server counts as silent or not as erroring")
	}
	if rule.recordProbeSuccess(s, 0.5, 0.5); s.health.missedProbes != 0 || s.health.ejected {
		t.Error("a successful probe does not clear the missed probes and the ejection")
	}
}

// A server with a very low load after a failure is a new process, even before the endpoint list shows its
// restart.
func TestEmptyServerAfterAFailureIsInSlowStart(t *testing.T) {
	for load, want := range map[float64]bool{0.1: true, 0.4: false} {
		rule, s := newTestOutliers()
		rule.recordProbeFailure(s, TimedOut)
		rule.recordProbeSuccess(s, load, 0.5)
		if got := s.slowStart.startedAt >= 0; got != want {
			t.Errorf("returned with a load of %.1f to a pool at 0.5: in slow start %v, want the opposite",
				load, got)
		}
	}
}
