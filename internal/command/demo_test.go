package command

import (
	"testing"
	"time"

	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
)

// The demo's first phase is quiet: five servers, at a third of their load, reject fewer than one request in
// twenty. It lasts until each client has come twice, so the clock has no part in the verdict.
func TestQuietDemoRefusesFew(t *testing.T) {
	ctx := t.Context()
	deployment, err := startDemoDeployment(ctx, t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.killServers()
	leave := deployment.startClients(ctx)
	defer leave()
	var placed, rejected uint32
	var fleet timeline.Interval
	for placed+rejected < 2*demoClients {
		pause(ctx, 200*time.Millisecond)
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
		t.Errorf("placed %d, rejected %d:%s", placed, rejected, report.RejectionsByReason(fleet))
	}
	leave()
	if err := deployment.stop(); err != nil {
		t.Error(err)
	}
}
