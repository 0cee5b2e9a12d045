package decide

import (
	"slices"
	"time"
)

// fleetView is what this relay knows of the others.
type fleetView struct {
	status FleetStatus // the latest
}

// newFleetView is the view before the first FleetStatus: as many relays as the settings say, each with an
// equal share of every budget.
func newFleetView(relays int) *fleetView {
	return &fleetView{status: FleetStatus{
		Relays:          relays,
		BudgetShare:     1 / float64(relays),
		PeerRequestRate: -1,
		PeerConnections: -1,
	}}
}

// recordFleetStatus takes in what the relays know of each other.
func (f *fleetView) recordFleetStatus(status FleetStatus) {
	status.Relays = max(status.Relays, 1)
	status.BudgetShare = max(0, min(status.BudgetShare, 1))
	status.FarBudgetShare = max(0, min(status.FarBudgetShare, 1))
	f.status = status
}

// budgetShare is the part, 0 to 1, of a fleet-wide budget for a server of the zone that is this relay's now.
func (f *fleetView) budgetShare(now time.Duration, zone Zone) float64 {
	switch {
	case f.status.BudgetExpiresAt > 0 && now >= f.status.BudgetExpiresAt:
		return 0
	case f.status.NearZones != nil && !slices.Contains(f.status.NearZones, zone):
		return f.status.FarBudgetShare
	}
	return f.status.BudgetShare
}

// fleetConnections is how many connections all relays hold: as they say, or as many each as this one.
func (f *fleetView) fleetConnections(own int) float64 {
	if f.status.PeerConnections >= 0 {
		return float64(own + f.status.PeerConnections)
	}
	return float64(own * f.status.Relays)
}

// fleetRequestRate is how many requests a second come to all relays: as they say, or to each as many as here.
func (f *fleetView) fleetRequestRate(own float64) float64 {
	if f.status.PeerRequestRate >= 0 {
		return own + f.status.PeerRequestRate
	}
	return own * float64(f.status.Relays)
}
