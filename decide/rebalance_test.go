package decide

import "testing"

func TestMigratesOffASilentServerButNotWhenAllAreSilent(t *testing.T) {
	up := map[ServerID]float64{0: 0.6, 1: 0.6, 2: 0.55, 3: 0.55, 4: 0.55, 5: 0.55}
	r := newRelayWithConnections(t, settings(), 4, up)
	oneSilent := map[ServerID]float64{1: 0.6, 2: 0.55, 3: 0.55, 4: 0.55, 5: 0.55}
	r.handle(ProbeResult{Server: 2, Report: loadReport(0.55, 11)})
	first := r.handle(ProbeResult{Server: 0, Status: TimedOut, Report: NoLoadReport})
	if len(actionsOf[Migrate](first)) != 0 || len(actionsOf[Probe](first)) != 1 {
		t.Fatalf("actions at the first unanswered probe: %v, want another probe and no migration", first)
	}
	r.handle(ProbeResult{Server: 0, Report: loadReport(0.6, 12)}) // the server answers again
	migrated := map[RequestID]bool{}
	for range 4 {
		for _, m := range actionsOf[Migrate](r.checkLoad(oneSilent)) {
			migrated[m.ID] = true
		}
	}
	if len(migrated) != 4 {
		t.Fatalf("%d migrations off a silent server with 4 connections, want 4", len(migrated))
	}
	for id := range migrated {
		if id%2 != 0 {
			t.Errorf("connection %d was migrated off a server that answers probes", id)
		}
	}
	r = newRelayWithConnections(t, settings(), 4, up)
	for range 6 {
		if moved := actionsOf[Migrate](r.checkLoad(nil)); len(moved) > 0 {
			t.Fatalf("%d connections migrated although all servers are silent, want none", len(moved))
		}
	}
}

func TestMigratesOnlyTheExcess(t *testing.T) {
	up := map[ServerID]float64{0: 0.6, 1: 0.6, 2: 0.5, 3: 0.5, 4: 0.5, 5: 0.5}
	r := newRelayWithConnections(t, settings(), 100, up)
	hot := map[ServerID]float64{0: 1.0, 1: 0.6, 2: 0.55, 3: 0.55, 4: 0.55, 5: 0.55}
	if moved := len(actionsOf[Migrate](r.checkLoad(hot))); moved == 0 || moved > 60 {
		t.Errorf("%d of 100 connections migrated at one load check, want about the excess of a third", moved)
	}
	// Late load reports still show an excess that is gone; where message delays are reported, these decide.
	set := settings()
	set.ReportsMessageDelay = true
	r = newRelayWithConnections(t, set, 100, up)
	for range 4 {
		if moved := actionsOf[Migrate](r.checkLoad(hot)); len(moved) > 0 {
			t.Fatalf("%d migrations although no message was late, want none", len(moved))
		}
	}
	if moved := actionsOf[Migrate](r.answerProbes(r.handle(MessageDelay{
		ID: 1000, Server: 0, Delay: 80 * ms,
	}), hot)); len(moved) == 0 {
		t.Error("no migration although messages are late and the load is 1.0")
	}
}

// With real sockets, late messages are not reported. Guards against one overloaded server in an idle fleet
// that goes unnoticed until a request happens to probe it.
func TestOverloadedServerIsCheckedWithoutDelayReports(t *testing.T) {
	loads := map[ServerID]float64{0: 0.8, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1, 5: 0.1}
	for _, reportsDelay := range []bool{false, true} {
		set := settings()
		set.ReportsMessageDelay = reportsDelay
		r := newRelayWithConnections(t, set, 4, loads)
		for on := range ServerID(2) { // servers without a reading are always checked
			r.handle(ProbeResult{Server: on, Report: loadReport(loads[on], 16)})
		}
		loadCheckDue := TimerFired{Token: timerLoadCheck.token(0)}
		probes := actionsOf[Probe](r.advance(loadCheckInterval).handle(loadCheckDue))
		if got := len(probes) == 1 && probes[0].Server == 0; got == reportsDelay {
			t.Errorf(
				"message delays reported: %v, load check probes: %v, want one of server 0 if not reported",
				reportsDelay, probes)
		}
	}
}

// A load check before the next report must not migrate again the excess that has just left the server.
func TestOneExcessMigratesOnce(t *testing.T) {
	set := settings()
	set.Relays, set.Tenants[0].ConnectionQuota, set.ReportsMessageDelay = 1, 100, false
	r := newRelay(t, set, 1, 4)
	for id := RequestID(1); id <= 30; id++ {
		r.handle(Inherited{Request: newRequest(id), Server: 0})
	}
	moved := 0
	for range 4 {
		r.advance(loadReportDelay / 5)
		for on, load := range []float64{1, 0.1, 0.1, 0.1} {
			for _, m := range actionsOf[Migrate](r.handle(ProbeResult{
				Server: ServerID(on), Latency: ms, Report: loadReport(load, load*30),
			})) {
				moved++
				r.handle(Outcome{ID: m.ID, Server: 0, Status: Cancelled, Closed: true})
			}
		}
	}
	if moved < 5 || moved > 14 {
		t.Errorf(
			"%d of 30 connections migrated off a server at load 1.0, want about 11 to reach 0.65",
			moved)
	}
}
