package relay

import (
	"testing"
	"time"

	"capersail/decide"
	"capersail/internal/guard"
)

// When a stopped process continues, it first reads lines that discovery wrote before or during the stop.
// These lines must not renew the lease of the endpoint list; the first line written after the stop must.
func TestLinesReadAfterAProcessStopDoNotRenewTheLease(t *testing.T) {
	clock := NewManualClock()
	table := NewRequestTable(&Deployment{}, clock, nil)
	table.EnableEndpointLease(10 * time.Second)
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
	table.RenewEndpointLease() // an old line, read before the event loop runs
	if table.ServerReady("s") && !expired() {
		t.Error("old line read before the event loop ran renewed the lease, want it ignored")
	}
	table.sweep()
	table.RenewEndpointLease() // another old line, read after the event loop ran
	if table.ServerReady("s") || !expired() {
		t.Error("old line read after the event loop ran renewed the lease, want it ignored")
	}
	advance(2*time.Second, false)
	table.RenewEndpointLease()
	if !table.ServerReady("s") || expired() {
		t.Error("new line did not renew the lease, want it renewed")
	}
	advance(5700*time.Millisecond, false)
	if !table.ServerReady("s") {
		t.Error("lease expired within 5.7 s of its renewal, want it valid")
	}
	advance(500*time.Millisecond, false)
	table.sweep()
	if table.ServerReady("s") || !expired() {
		t.Error("lease is valid 6.2 s after its renewal, want it expired")
	}
	if c := table.EndpointCounts(); c.Listed != 1 || c.Withheld != 1 {
		t.Errorf("expired lease: got %d listed and %d withheld servers, want 1 and 1", c.Listed, c.Withheld)
	}
	table.RecordDiscoveryLoss(guard.ConnectionRefused)
	if !table.ServerReady("s") {
		t.Error("server not ready after discovery refused a connection, want the lease valid")
	}
}
