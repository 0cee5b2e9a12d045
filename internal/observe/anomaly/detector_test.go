package anomaly

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/observe/recorder"
)

// kindOfLabel returns the kind of a label, which is a server and a kind.
func kindOfLabel(what string) Kind {
	for k := range kindCount {
		if strings.HasSuffix(what, " "+k.String()) {
			return k
		}
	}
	return RelayChanged
}

// everyKindSeeds holds the seeds of TestEveryKindIsFoundAlone. With seed 50 the peers' load falls while a
// server that answers late keeps reporting its earlier load.
var everyKindSeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 50}

// Every kind of fault, several of them at once on different servers, is detected at its own server, and no
// other anomaly is detected.
func TestEveryKindIsFoundAlone(t *testing.T) {
	worst := map[Kind]float64{}
	for _, seed := range everyKindSeeds {
		s := newFleetModel(seed, 12)
		s.rateSwing = 0.5
		s.run(30_000)
		if len(s.changes) != 0 {
			t.Fatalf("seed %d: events before the first fault: %+v, want none", seed, s.changes)
		}
		s.servers[0].unresponsive, s.servers[1].failing, s.servers[2].late, s.servers[3].setupFactor =
			true, true, true, 12
		s.run(12_000)
		s.servers[0].unresponsive, s.servers[1].failing, s.servers[2].late, s.servers[3].setupFactor =
			false, false, false, 0
		s.run(20_000)
		s.servers[4].rejecting = true
		s.startFault(5, UnannouncedDrain, func(_ *modelServer) { s.endConnections(5, decide.Cancelled) })
		s.startFault(6, UnevenLoad, func(h *modelServer) { h.extraLoad = 0.8 })
		s.startFault(7, FrozenReport, func(h *modelServer) { h.frozen = true })
		s.run(14_000)
		s.servers[4].rejecting, s.servers[6].extraLoad, s.servers[7].frozen = false, 0, false
		s.run(20_000)
		for i := 8; i <= 9; i++ {
			s.servers[i].dead = true
			s.endConnections(i, decide.Reset)
		}
		s.run(3000)
		s.servers[9].dead = false
		s.visibleAt["s9 "+UnannouncedRestart.String()] = s.now
		s.run(4000)
		for range 4 {
			s.setEndpointState(10, decide.Draining, 0)
			s.run(1500)
			s.setEndpointState(10, decide.Ready, 0)
			s.visibleAt["s10 flapping"] = s.now
			s.run(1500)
		}
		s.setEndpointState(8, decide.Removed, 0) // the endpoint list now shows the crash
		for range 3 {
			s.putRecord(-1, recorder.Record{Kind: recorder.EndpointListUnreachable})
			s.visibleAt[" list out of reach"] = s.now
			s.run(400)
		}
		s.setEndpointState(11, decide.Draining, 0) // a drain in the endpoint list is no anomaly
		s.endConnections(11, decide.Cancelled)
		s.run(6000)
		s.setEndpointState(11, decide.Removed, 0)
		s.setEndpointState(11, decide.Ready, s.now-100)
		s.run(120_000)
		found := s.beganAt()
		for what, at := range s.visibleAt {
			if _, ok := found[what]; !ok {
				t.Errorf("seed %d: %q was not detected", seed, what)
				continue
			}
			k := kindOfLabel(what)
			worst[k] = max(worst[k], s.reportedAt[what]-at)
		}
		for what, from := range found {
			if _, ok := s.visibleAt[what]; !ok && what != "s7 uneven load" { // caused by the frozen report
				t.Errorf("seed %d: detected %q at %.0f, want no such event", seed, what, from)
			}
		}
		if left := s.detector.ActiveEvents(); len(left) != 0 {
			t.Errorf("seed %d: events still active 120 s after the last fault: %+v, want none", seed, left)
		}
		ends := map[string]int{}
		for _, c := range s.changes {
			if c.To != 0 {
				ends[c.Server+c.Kind.String()]++
			}
		}
		for what, n := range ends {
			if n != 1 {
				t.Errorf("seed %d: %s ended %d times, want once", seed, what, n)
			}
		}
	}
	for k := range kindCount {
		t.Logf("%-18s reported at most %5.0f ms after the fault became visible", k, worst[k])
		mustLast := k == UnevenLoad || k == FrozenReport // these faults are visible only after some time
		if !mustLast && worst[k] > 1000 {
			t.Errorf("%v: reported %.0f ms after the fault became visible, want at most 1000 ms", k, worst[k])
		}
	}
}

// Swings of the load and jitter of the set-up times without a fault cause no event.
func TestNoEventWithoutFault(t *testing.T) {
	for seed := range uint64(10) {
		s := newFleetModel(100+seed, 8+int(seed))
		s.rateSwing = 0.2 + 0.06*float64(seed)
		s.setupSigma = 0.3 + 0.05*float64(seed)
		s.swingPeriod = 20_000 + 10_000*float64(seed)
		s.run(180_000)
		for _, c := range s.changes {
			t.Errorf("seed %d: got event %+v, want none", seed, c)
		}
	}
}

// An anomaly that all servers have at once is one event of the fleet.
func TestAnomalyOfMostServersIsOneFleetEvent(t *testing.T) {
	for what, f := range map[Kind]func(h *modelServer){
		SlowSetup:    func(h *modelServer) { h.setupFactor = 15 },
		Unresponsive: func(h *modelServer) { h.unresponsive = true },
		ErrorBurst:   func(h *modelServer) { h.failing = true },
	} {
		s := newFleetModel(7, 10)
		s.run(30_000)
		for _, h := range s.servers {
			f(h)
		}
		s.run(10_000)
		fleet, single := 0, 0
		for _, c := range s.changes {
			switch {
			case c.To != 0:
			case c.Server == "" && c.Kind == what:
				fleet++
			case c.Kind == what:
				single++
			default:
				t.Errorf("fault %v: got event %+v of another kind", what, c)
			}
		}
		if fleet != 1 || single > len(s.servers)/2 {
			t.Errorf("%v: got %d events of the fleet and %d of servers, want 1 and at most 5",
				what, fleet, single)
		}
	}
}

// Thousands of servers that join and leave use bounded memory and cause no events.
func TestManyServersAreBounded(t *testing.T) {
	d := New(50, time.Unix(0, 0).Add)
	for i := range 20_000 {
		at := 1000*time.Second + time.Duration(i)*10*time.Millisecond
		r := recorder.Record{At: at, Kind: recorder.EndpointChanged, EndpointState: decide.Ready,
			StartedAt: at}
		d.Observe(fmt.Sprint("id", i), &r)
		r = recorder.Record{At: at + 5*time.Millisecond, Kind: recorder.EndpointChanged,
			EndpointState: decide.Removed}
		d.Observe(fmt.Sprint("id", i), &r)
		if out := d.Tick(r.At, nil); len(out) != 0 {
			t.Fatalf("got events %+v, want none", out)
		}
	}
	if len(d.serverList) != 50 || len(d.servers) != 50 {
		t.Errorf("the detector keeps %d servers, want 50", len(d.servers))
	}
}

// An unknown kind, as from a store of another version, is named by its number.
func TestUnknownKindIsNamedByNumber(t *testing.T) {
	if got := Kind(99).String(); got != "unknown kind 99" {
		t.Error("name of kind 99:", got, "want: unknown kind 99")
	}
}
