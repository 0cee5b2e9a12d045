package membership

import (
	"math"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// Relays that start together agree on one view, leave a killed one out and take it in again, and their
// shares never add up to more than one.
func TestFleetForms(t *testing.T) {
	w := newSimulatedFleet(7, 7, 1)
	for i := range w.relays {
		w.start(i)
	}
	w.run(6000)
	if err := w.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	w.kill(3)
	w.run(failureTimeout*1.5 + 2000)
	for _, n := range w.relays {
		if n.running && n.node.View().Entry(relayName(3)).IsMember {
			t.Errorf("%s still has the killed one in its view", n.cfg.Name)
		}
	}
	w.run(duration.Millis(EarlierViewsExpireAfter) + 2000)
	if err := w.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	if got := w.relays[0].node.Estimate(w.relays[0].clock(w.now)).BudgetShare; math.Abs(got-1.0/6) > 1e-6 {
		t.Errorf("a share of six is %v", got)
	}
	w.start(3)
	w.run(8000)
	if err := w.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	if w.maxSum > 1 {
		t.Errorf("the shares added up to %v", w.maxSum)
	}
}

// A relay whose endpoint list stays behind a peer's asks discovery once, and again only much later; one
// that is behind for a moment, as all are while a change spreads, does not.
func TestStaleEndpointListIsRefreshedOnce(t *testing.T) {
	n := New(0, Config{Name: "me", BootstrapSize: 3, ConfiguredRelays: 3}, Record{})
	asked := func(from, to time.Duration, list int64) (count int) {
		for now := from; now < to; now += 100 * time.Millisecond {
			for _, a := range n.Handle(now, LocalState{Lifecycle: LifecycleServing,
				EndpointListGeneration: list}, nil) {
				if _, ok := a.(RefreshEndpointList); ok {
					count++
				}
			}
		}
		return count
	}
	n.Handle(0, PeerHealth{"peer", HealthAlive}, nil)
	n.Handle(0, StatusReceived{"peer", Status{Incarnation: 1, Seq: 1, BootstrapSize: 3, BootstrapSlot: 1,
		EndpointListGeneration: 5}}, nil)
	if n := asked(100*time.Millisecond, 1500*time.Millisecond, 4) + asked(1500*time.Millisecond,
		4*time.Second, 5); n != 0 {
		t.Errorf("asked %d times, for a moment's lag", n)
	}
	n.Handle(4*time.Second, StatusReceived{"peer",
		Status{Incarnation: 1, Seq: 2, BootstrapSize: 3, BootstrapSlot: 1, EndpointListGeneration: 9}}, nil)
	if n := asked(4*time.Second, 10*time.Second, 5); n != 1 {
		t.Errorf("asked %d times in 6 s behind", n)
	}
}
