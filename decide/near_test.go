package decide

import (
	"testing"
	"time"
)

// Of a server in a near zone this relay has one part of the budget, of any other another; without near zones all are near.
func TestShareOfNearAndFar(t *testing.T) {
	b := &Balancer{now: 10 * time.Second}
	here, there := &serverState{Endpoint: Endpoint{Zone: 1}}, &serverState{Endpoint: Endpoint{Zone: 2}}
	for name, c := range map[string]struct {
		fleet      FleetStatus
		near, away float64
	}{
		"no cells":       {FleetStatus{BudgetShare: 0.25}, 0.25, 0.25},
		"one zone near":  {FleetStatus{BudgetShare: 0.25, FarBudgetShare: 0.01, NearZones: []Zone{1}}, 0.25, 0.01},
		"none near":      {FleetStatus{BudgetShare: 0.25, FarBudgetShare: 0.01, NearZones: []Zone{}}, 0.01, 0.01},
		"lapsed":         {FleetStatus{BudgetShare: 0.25, FarBudgetShare: 0.01, NearZones: []Zone{1}, BudgetUntil: 9 * time.Second}, 0, 0},
		"not lapsed yet": {FleetStatus{BudgetShare: 0.25, FarBudgetShare: 0.01, NearZones: []Zone{1}, BudgetUntil: 11 * time.Second}, 0.25, 0.01},
	} {
		b.recordFleetStatus(c.fleet)
		if near, away := b.budgetShare(here), b.budgetShare(there); near != c.near || away != c.away {
			t.Errorf("%s: %v near and %v far, want %v and %v", name, near, away, c.near, c.away)
		}
	}
}
