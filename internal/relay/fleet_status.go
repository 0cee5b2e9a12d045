package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// ToFleetStatus turns a fleet's estimate into what the decision module gets. now and own are the
// same instant: now on the decision module's clock, own on the membership.Node's, of which
// the estimate is.
//
// SharesPlacements says whether so little comes to the fleet that relays can tell each other what they
// send; it holds where they share readings only.
//
// zoneNumber gives the number of a zone's name, false for one that no server or relay here has; it may be
// nil where the fleet has no cells, and all is far then. A near zone without a number has no server to
// budget for.
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

// zoneNumbers returns the numbers of those zones that have one, never nil.
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
