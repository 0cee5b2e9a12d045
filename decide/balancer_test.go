package decide

import (
	"reflect"
	"testing"
	"time"
)

func TestSameEventsSameActions(t *testing.T) {
	run := func() (log []Action) {
		r := newRelay(t, settings(), 77, 9)
		loads := map[ServerID]float64{0: 0.2, 1: 0.3, 2: 0.4, 5: 0.2, 7: 0.6}
		for id := RequestID(1); id < 60; id++ {
			acts := r.answerProbes(r.advance(90*ms).handle(newRequest(id)), loads)
			for _, s := range actionsOf[Forward](acts) {
				if id%5 == 0 {
					acts = append(acts, r.handle(Outcome{
						ID:     id,
						Server: s.Server,
						Status: Reset,
						Report: NoLoadReport,
					})...)
				}
			}
			log = append(log, acts...)
		}
		return log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same settings, seed and events returned different actions")
	}
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for _, set := range []Settings{{}, {Relays: -3, Zones: -1, Zone: 7, MaxAttempts: -2},
		{Classes: []ClassInfo{{}}, Rules: Rules{SlowStartCapacity: 9, SlowStartWindow: -1}, Probes: true}} {
		r := newRelay(t, set, 1, 3)
		r.handle(WatchEvent{
			Kind: Delta, Endpoints: []Endpoint{{Server: 1, State: Ready, StartedAt: r.now, Zone: 99}},
		})
		acts := r.answerProbes(r.handle(Request{
			ID:       1,
			Class:    5,
			Tenant:   8,
			TimeLeft: time.Second,
		}), map[ServerID]float64{0: 0.1, 2: 0.1})
		acts = append(acts, r.advance(time.Second).handle(TimerFired{Token: timerRequest.token(1)})...)
		if len(actionsOf[Forward](acts))+len(actionsOf[Reject](acts))+len(actionsOf[Fail](acts)) != 1 {
			t.Errorf("settings %+v: actions %v, want one Forward, Reject or Fail", set, acts)
		}
	}
}
