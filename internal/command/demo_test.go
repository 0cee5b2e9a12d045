package command

import (
	"testing"
	"time"

	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
)

// In the demo's first phase nothing fails: five servers at a third of their capacity reject fewer than one
// request in twenty. The phase lasts until the clients have made two requests each on average, so that the
// result does not depend on the machine's speed.
func TestUndisturbedDemoRejectsFewRequests(t *testing.T) {
	ctx := t.Context()
	deployment, err := startDemoDeployment(ctx, t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.killServers()
	stopClients := deployment.startClients(ctx)
	defer stopClients()
	var placed, rejected uint32
	var fleet timeline.Interval
	for placed+rejected < 2*demoClients {
		sleepContext(ctx, 200*time.Millisecond)
		r, err := deployment.report()
		if err != nil {
			t.Fatal(err)
		}
		placed, fleet = 0, timeline.Interval{}
		for _, s := range r.Servers {
			for _, step := range s.Intervals {
				placed += step.Placements
				if s.Name == timeline.FleetName {
					fleet = timeline.Merge(fleet, step)
				}
			}
		}
		rejected = fleet.Rejections
	}
	t.Logf("placed %d, rejected %d:%s", placed, rejected, report.RejectionsByReason(fleet))
	if rejected*20 >= placed {
		t.Errorf("placed %d, rejected %d:%s; want fewer than 1 in 20 rejected",
			placed, rejected, report.RejectionsByReason(fleet))
	}
	stopClients()
	if err := deployment.stop(); err != nil {
		t.Errorf("stopping the demo: %v", err)
	}
}
