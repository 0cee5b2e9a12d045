package relay

import (
	"slices"
	"testing"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
)

// A relay of a cell tells the decision module both shares, and the near zones by their numbers; one without
// cells has one share.
func TestFleetStatusNearAndFar(t *testing.T) {
	numbers := map[string]decide.Zone{"a": 3, "b": 5}
	zoneNumber := func(name string) (decide.Zone, bool) {
		number, known := numbers[name]
		return number, known
	}
	estimate := membership.FleetEstimate{
		BudgetShare:     0.3,
		FarBudgetShare:  0.02,
		ShareValidUntil: duration.DistantFuture,
		NearZones:       []string{"a", "unknown here", "b"},
		Plan:            4,
	}
	got := ToFleetStatus(0, 0, estimate, zoneNumber)
	near := []decide.Zone{3, 5}
	if got.BudgetShare != 0.3 || got.FarBudgetShare != 0.02 || !slices.Equal(got.NearZones, near) {
		t.Errorf("in a cell: %+v", got)
	}
	if got := ToFleetStatus(0, 0, estimate, nil); got.NearZones == nil || len(got.NearZones) > 0 {
		t.Errorf("in a cell with no numbers all is far, not %+v", got)
	}
	flat := membership.FleetEstimate{BudgetShare: 0.3, FarBudgetShare: 0.3,
		ShareValidUntil: duration.DistantFuture}
	if got := ToFleetStatus(0, 0, flat, nil); got.NearZones != nil || got.BudgetShare != 0.3 {
		t.Errorf("without cells: %+v", got)
	}
}
