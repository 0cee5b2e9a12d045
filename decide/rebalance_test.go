package decide

import "testing"

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
