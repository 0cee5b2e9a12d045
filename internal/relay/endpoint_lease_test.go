package relay

import (
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/guard"
)

// A process that was stopped wakes over lines that discovery wrote long ago: they confirm nothing. The
// first line after that does.
func TestLinesReadAfterAProcessStopDoNotRenewTheLease(t *testing.T) {
	clock := NewManualClock()
	table := NewRequestTable(&Deployment{}, clock, nil)
	table.LeaseEndpointList(10 * time.Second)
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("s"))
	advance := func(d time.Duration, stopped bool) {
		end := clock.Now() + d
		for !stopped && clock.Now()+sweepInterval < end {
			clock.Set(clock.Now() + sweepInterval)
			table.sweep()
		}
		clock.Set(end)
	}
	expired := func() bool { return table.GuardStats().EndpointLeaseExpired }
	table.RenewEndpointLease()
	advance(2*time.Second, false)
	table.RenewEndpointLease()
	advance(7*time.Second, true)
	table.RenewEndpointLease() // a line that has waited, read before anything else runs
	if table.ServerReady("s") && !expired() {
		t.Error("an old line that is read before the event loop looks confirms the list")
	}
	table.sweep()
	table.RenewEndpointLease() // and one after
	if table.ServerReady("s") || !expired() {
		t.Error("an old line that is read after the event loop looks confirms the list")
	}
	advance(2*time.Second, false)
	table.RenewEndpointLease()
	if !table.ServerReady("s") || expired() {
		t.Error("a line of now does not confirm the list")
	}
	advance(5700*time.Millisecond, false)
	if !table.ServerReady("s") {
		t.Error("the lease expires before its time")
	}
	advance(500*time.Millisecond, false)
	table.sweep()
	if table.ServerReady("s") || !expired() {
		t.Error("the lease does not expire")
	}
	if c := table.EndpointCounts(); c.Listed != 1 || c.Withheld != 1 {
		t.Errorf("of one server on an expired list %d are listed and %d withheld", c.Listed, c.Withheld)
	}
	table.RecordDiscoveryLoss(guard.ConnectionRefused)
	if !table.ServerReady("s") {
		t.Error("a discovery that refuses connections leaves no list in force")
	}
}
