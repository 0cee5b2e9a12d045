package relay

import (
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/guard"
)

// A process that was stopped wakes over lines that discovery wrote long ago: they confirm nothing. The first line after that does.
func TestOldLinesConfirmNothing(t *testing.T) {
	clock := NewManualClock()
	x := NewRequestTable(&Deployment{}, clock, nil)
	x.LeaseEndpointList(10 * time.Second)
	x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "s", Address: "127.0.0.1:1", Mode: decide.Ready}})
	pass := func(d time.Duration, stopped bool) {
		end := clock.Now() + d
		for !stopped && clock.Now()+sweepInterval < end {
			clock.Set(clock.Now() + sweepInterval)
			x.sweepSilentServers()
		}
		clock.Set(end)
	}
	x.RenewEndpointLease()
	pass(2000*time.Millisecond, false)
	x.RenewEndpointLease()
	pass(7000*time.Millisecond, true)
	x.RenewEndpointLease() // a line that has waited, read before anything else runs
	if x.ServerReady("s") && !x.GuardStats().EndpointLeaseExpired {
		t.Error("an old line read before the core looks confirms the list")
	}
	x.sweepSilentServers()
	x.RenewEndpointLease() // and one after
	if x.ServerReady("s") || !x.GuardStats().EndpointLeaseExpired {
		t.Error("an old line read after the core looks confirms the list")
	}
	pass(2000*time.Millisecond, false)
	x.RenewEndpointLease()
	if !x.ServerReady("s") || x.GuardStats().EndpointLeaseExpired {
		t.Error("a line of now does not confirm the list")
	}
	pass(5700*time.Millisecond, false)
	if !x.ServerReady("s") {
		t.Error("the list lapses before its time")
	}
	pass(500*time.Millisecond, false)
	x.sweepSilentServers()
	if x.ServerReady("s") || !x.GuardStats().EndpointLeaseExpired {
		t.Error("the list does not lapse")
	}
	if c := x.EndpointCounts(); c.Listed != 1 || c.Withheld != 1 {
		t.Errorf("of one server on a lapsed list %d are listed and %d withheld", c.Listed, c.Withheld)
	}
	x.RecordDiscoveryLoss(guard.ConnectionRefused)
	if !x.ServerReady("s") {
		t.Error("a discovery that refuses connections leaves no list in force")
	}
}
