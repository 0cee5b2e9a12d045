package relay

import (
	"slices"
	"testing"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
)

// In a fleet with cells, the decision module gets both budget shares and the numbers of the near zones. In a
// fleet without cells it gets a single share and no near zones.
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
		NearZones:       []string{"a", "unknown zone", "b"},
		Plan:            4,
	}
	got := ToFleetStatus(0, 0, estimate, zoneNumber)
	near := []decide.Zone{3, 5}
	if got.BudgetShare != 0.3 || got.FarBudgetShare != 0.02 || !slices.Equal(got.NearZones, near) {
		t.Errorf("in a cell: got %+v, want the shares 0.3 and 0.02 and the near zones 3 and 5", got)
	}
	if got := ToFleetStatus(0, 0, estimate, nil); got.NearZones == nil || len(got.NearZones) > 0 {
		t.Errorf("in a cell without zone numbers: got %+v, want no near zone, but NearZones not nil", got)
	}
	flat := membership.FleetEstimate{BudgetShare: 0.3, FarBudgetShare: 0.3,
		ShareValidUntil: duration.DistantFuture}
	if got := ToFleetStatus(0, 0, flat, nil); got.NearZones != nil || got.BudgetShare != 0.3 {
		t.Errorf("without cells: got %+v, want the share 0.3 and NearZones nil", got)
	}
}
