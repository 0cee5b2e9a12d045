package membership

import (
	"math"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// Relays that start together must agree on one view, remove a killed relay from it and take it in again after
// its restart. Their shares must never add up to more than 1.
func TestFleetForms(t *testing.T) {
	sim := newSimulatedFleet(7, 7, 1)
	for i := range sim.relays {
		sim.start(i)
	}
	sim.run(6000)
	if err := sim.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	sim.kill(3)
	sim.run(failureTimeout*1.5 + 2000)
	for _, n := range sim.relays {
		if n.running && n.node.View().Entry(relayName(3)).IsMember {
			t.Errorf("relay %s still has the killed relay as a member of its view", n.cfg.Name)
		}
	}
	sim.run(duration.Millis(EarlierViewsExpireAfter) + 2000)
	if err := sim.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	if got := sim.relays[0].node.Estimate(
		sim.relays[0].clock(sim.now)).BudgetShare; math.Abs(got-1.0/6) > 1e-6 {
		t.Errorf("the share of each of six relays is %v, want 1/6", got)
	}
	sim.start(3)
	sim.run(8000)
	if err := sim.checkAgreement(); err != nil {
		t.Fatal(err)
	}
	if sim.maxSum > 1 {
		t.Errorf("the shares added up to %v, want 1 at most", sim.maxSum)
	}
}

// A relay whose endpoint list stays behind a peer's must ask for a refresh once, and again only much later. A
// relay that is behind for a moment, as all are while a change spreads, must not ask.
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
		t.Errorf("got %d refresh requests while the list was behind for a moment, want 0", n)
	}
	n.Handle(4*time.Second, StatusReceived{"peer",
		Status{Incarnation: 1, Seq: 2, BootstrapSize: 3, BootstrapSlot: 1, EndpointListGeneration: 9}}, nil)
	if n := asked(4*time.Second, 10*time.Second, 5); n != 1 {
		t.Errorf("got %d refresh requests in 6 s with the list behind, want 1", n)
	}
}
