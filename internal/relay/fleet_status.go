package relay

import (
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// ToFleetStatus is what the module is to reckon with: now is the module's time, own the membership.Node's. Summed says whether so little comes
// to the fleet that relays tell each other what they send; it holds where they share readings only.
//
// Zone gives the module's number of a zone's name, false for one that no server or relay here has; it may be nil where the fleet has no
// cells, and all is far then. A near zone without a number has no server to budget for.
func ToFleetStatus(now, own time.Duration, r membership.FleetEstimate, zone func(name string) (decide.Zone, bool)) decide.FleetStatus {
	f := decide.FleetStatus{Relays: r.Relays, BudgetShare: r.BudgetShare, PeerRequestRate: r.OtherRequestRate, PeerConnections: r.OtherConnections, PeerMigrationRate: r.DrainRate}
	f.SharesPlacements = r.OtherRequestRate >= 0 && r.OtherRequestRate+r.OwnRequestRate <= probing.MaxPlacementRate
	if r.Plan > 0 {
		f.FarBudgetShare, f.NearZones = r.FarBudgetShare, []decide.Zone{}
		for _, name := range r.NearZones {
			if zone == nil {
				break
			}
			if number, known := zone(name); known {
				f.NearZones = append(f.NearZones, number)
			}
		}
	}
	if r.ShareValidUntil != duration.Forever {
		f.BudgetUntil = (now + r.ShareValidUntil - own).Round(time.Microsecond)
	}
	return f
}
