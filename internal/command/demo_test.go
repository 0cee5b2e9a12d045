package command

import (
	"testing"
	"time"

	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
)

// The demo's first phase is quiet: five servers, at a third of their load, refuse fewer than one request in twenty. It lasts
// until each client has come twice, so the clock has no part in the verdict.
func TestQuietDemoRefusesFew(t *testing.T) {
	ctx := t.Context()
	site, err := startDemoDeployment(ctx, t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer site.killServers()
	leave := site.startClients(ctx)
	defer leave()
	var placed, refused uint32
	var fleet timeline.Interval
	for placed+refused < 2*demoClients {
		pause(ctx, 200*time.Millisecond)
		r, err := site.report()
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
		refused = fleet.Rejections
	}
	t.Logf("placed %d, refused %d:%s", placed, refused, report.RejectionsByReason(fleet))
	if refused*20 >= placed {
		t.Errorf("placed %d, refused %d:%s", placed, refused, report.RejectionsByReason(fleet))
	}
	leave()
	if err := site.stop(); err != nil {
		t.Error(err)
	}
}
