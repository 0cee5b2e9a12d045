package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// ToFleetStatus converts an estimate of the fleet into the form that the decision module uses. now and
// nodeNow are the same instant: now on the clock of the decision module, nodeNow on the clock of the
// membership.Node that made the estimate.
//
// The result's SharesPlacements is true if the request rate of the fleet is low enough for relays to tell
// each other about their placements. It only applies if the relays also share readings.
//
// zoneNumber returns the number of a zone, or false for a zone in which this relay knows no server and no
// relay. It may be nil if the fleet has no cells; then every zone counts as far. A near zone without a number
// contains no server that needs a budget.
func ToFleetStatus(
	now, nodeNow time.Duration, e membership.FleetEstimate, zoneNumber func(name string) (decide.Zone, bool),
) decide.FleetStatus {
	status := decide.FleetStatus{
		Relays:            e.Relays,
		BudgetShare:       e.BudgetShare,
		PeerRequestRate:   e.OtherRequestRate,
		PeerConnections:   e.OtherConnections,
		PeerMigrationRate: e.DrainRate,
		SharesPlacements: e.OtherRequestRate >= 0 &&
			e.OtherRequestRate+e.OwnRequestRate <= probing.MaxPlacementRate,
	}
	if e.Plan > 0 {
		status.FarBudgetShare = e.FarBudgetShare
		status.NearZones = zoneNumbers(e.NearZones, zoneNumber)
	}
	if e.ShareValidUntil != duration.DistantFuture {
		status.BudgetExpiresAt = (now + e.ShareValidUntil - nodeNow).Round(decisionPrecision)
	}
	return status
}

// zoneNumbers returns the numbers of the named zones, without zones that have no number. The result is never
// nil.
func zoneNumbers(names []string, zoneNumber func(name string) (decide.Zone, bool)) []decide.Zone {
	numbers := []decide.Zone{}
	if zoneNumber == nil {
		return numbers
	}
	for _, name := range names {
		if number, known := zoneNumber(name); known {
			numbers = append(numbers, number)
		}
	}
	return numbers
}
