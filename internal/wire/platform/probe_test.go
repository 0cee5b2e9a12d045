package platform

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"capersail/decide"
	"capersail/internal/relay"
)

// Servers that are probed no more leave no goroutine and no queue behind, and can be probed again. Guards
// against a process that keeps both for every server that it ever probed.
func TestServersProbedNoMoreLeaveNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	dialer := &ServerDialer{Clock: relay.NewClock(), idleProbeLifetime: 20 * time.Millisecond}
	const servers = 50
	for range 2 {
		done := make(chan decide.Status, servers)
		for i := range servers { // nobody listens there
			server := relay.Server{Number: decide.ServerID(i), Address: "127.0.0.1:1"}
			dialer.Probe(server, func(status decide.Status, _ decide.LoadReport) { done <- status })
		}
		for range servers {
			if status := <-done; status == decide.OK || status == decide.Superseded {
				t.Errorf("a probe of nobody ended as %v", status)
			}
		}
		queues := func() int {
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			return len(dialer.probeQueues)
		}
		for until := time.Now().Add(10 * time.Second); queues() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d queues are left of %d", queues(), servers)
			}
		}
	}
}
