package relay

import (
	"testing"

	"capersail/decide"
	"capersail/internal/guard"
)

// A process that was stopped wakes over lines that discovery wrote long ago: they confirm nothing. The first line after that does.
func TestOldLinesConfirmNothing(t *testing.T) {
	clock := NewManualClock()
	x := NewRequestTable(&Deployment{}, clock, nil)
	x.LeaseEndpointList(10_000)
	x.UpdateEndpoints(decide.Snapshot, []Endpoint{{ID: "s", Address: "127.0.0.1:1", Mode: decide.Ready}})
	pass := func(ms float64, stopped bool) {
		end := clock.NowMillis() + ms
		for !stopped && clock.NowMillis()+sweepInterval < end {
			clock.SetMillis(clock.NowMillis() + sweepInterval)
			x.sweepSilentServers()
		}
		clock.SetMillis(end)
	}
	x.RenewEndpointLease()
	pass(2000, false)
	x.RenewEndpointLease()
	pass(7000, true)
	x.RenewEndpointLease() // a line that has waited, read before anything else runs
	if x.ServerReady("s") && !x.GuardStats().EndpointLeaseExpired {
		t.Error("an old line read before the core looks confirms the list")
	}
	x.sweepSilentServers()
	x.RenewEndpointLease() // and one after
	if x.ServerReady("s") || !x.GuardStats().EndpointLeaseExpired {
		t.Error("an old line read after the core looks confirms the list")
	}
	pass(2000, false)
	x.RenewEndpointLease()
	if !x.ServerReady("s") || x.GuardStats().EndpointLeaseExpired {
		t.Error("a line of now does not confirm the list")
	}
	pass(5700, false)
	if !x.ServerReady("s") {
		t.Error("the list lapses before its time")
	}
	pass(500, false)
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
