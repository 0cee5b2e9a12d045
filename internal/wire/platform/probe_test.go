package platform

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"capersail/decide"
	"capersail/internal/relay"
)

// A server that is no longer probed must keep neither its goroutine nor its queue, and can be probed again.
// Otherwise the process would keep both for every server that it ever probed.
func TestServersProbedNoMoreLeaveNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	dialer := &ServerDialer{Clock: relay.NewClock(), idleProbeLifetime: 20 * time.Millisecond}
	const servers = 50
	for range 2 {
		done := make(chan decide.Status, servers)
		for i := range servers { // no process listens on this port
			server := relay.Server{Number: decide.ServerID(i), Address: "127.0.0.1:1"}
			dialer.Probe(server, func(status decide.Status, _ decide.LoadReport) { done <- status })
		}
		for range servers {
			if status := <-done; status == decide.OK || status == decide.Superseded {
				t.Errorf("probe of a port without listener: got status %v, want an error status", status)
			}
		}
		queueCount := func() int {
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			return len(dialer.probeQueues)
		}
		for until := time.Now().Add(10 * time.Second); queueCount() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("got %d of %d probe queues left after 10 s, want none", queueCount(), servers)
			}
		}
	}
}
