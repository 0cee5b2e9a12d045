package decide

import (
	"slices"
	"time"
)

// fleetView is what this relay knows of the other relays.
type fleetView struct {
	status FleetStatus // the latest one received
}

// newFleetView returns the view before the first FleetStatus: the number of relays in the settings, each with
// an equal share of every budget.
func newFleetView(relays int) *fleetView {
	return &fleetView{status: FleetStatus{
		Relays:          relays,
		BudgetShare:     1 / float64(relays),
		PeerRequestRate: -1,
		PeerConnections: -1,
	}}
}

// recordFleetStatus stores a status, with values out of range replaced by the nearest valid ones.
func (f *fleetView) recordFleetStatus(status FleetStatus) {
	status.Relays = max(status.Relays, 1)
	status.BudgetShare = max(0, min(status.BudgetShare, 1))
	status.FarBudgetShare = max(0, min(status.FarBudgetShare, 1))
	f.status = status
}

// budgetShare is this relay's present fraction, 0 to 1, of a fleet-wide budget for a server of the zone.
func (f *fleetView) budgetShare(now time.Duration, zone Zone) float64 {
	switch {
	case f.status.BudgetExpiresAt > 0 && now >= f.status.BudgetExpiresAt:
		return 0
	case f.status.NearZones != nil && !slices.Contains(f.status.NearZones, zone):
		return f.status.FarBudgetShare
	}
	return f.status.BudgetShare
}

// fleetConnections is the number of connections that all relays hold. If the other relays' number is not
// known, each is assumed to hold as many as this relay.
func (f *fleetView) fleetConnections(own int) float64 {
	if f.status.PeerConnections >= 0 {
		return float64(own + f.status.PeerConnections)
	}
	return float64(own * f.status.Relays)
}

// fleetRequestRate is the number of requests per second to all relays. If the other relays' rate is not
// known, each is assumed to get as many as this relay.
func (f *fleetView) fleetRequestRate(own float64) float64 {
	if f.status.PeerRequestRate >= 0 {
		return own + f.status.PeerRequestRate
	}
	return own * float64(f.status.Relays)
}
