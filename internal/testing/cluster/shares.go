package cluster

import (
	"slices"
	"time"

	"capersail/internal/testing/faultpoint"
)

// PeakShareSum returns the greatest sum of the shares that the relays took of one zone's budgets at any
// instant of a history, and that instant. A relay takes its share from its line on until its next line, until
// the share expires, or until its process has ended; a relay in a cell takes a near share in some zones and a
// far one in all others.
func PeakShareSum(all []faultpoint.HistoryLine) (peak float64, at time.Duration) {
	latest := map[string]faultpoint.HistoryLine{}
	zones := zonesOf(all)
	for _, n := range all {
		switch n.Event {
		case "":
			latest[n.Name] = n
		case "kill":
			delete(latest, n.Name)
		}
		for _, zone := range zones {
			sum := 0.0
			for _, line := range latest {
				sum += line.BudgetShareIn(zone, n.AtMillis)
			}
			if sum > peak {
				peak = sum
				at = fromMillis(n.AtMillis)
			}
		}
	}
	return peak, at
}

// zonesOf returns the zones that a history names, and "" for one that is near to no cell.
func zonesOf(all []faultpoint.HistoryLine) []string {
	zones := []string{""}
	for _, n := range all {
		for _, zone := range n.Zones {
			if !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
		}
	}
	return zones
}

// LowestNearShare returns the lowest near share that a relay had at any instant between two: by its last line
// before the first, and by its lines until the second. A share that expired meanwhile counts as 0.
func LowestNearShare(all []faultpoint.HistoryLine, name string, from, to time.Duration) float64 {
	lowest, until := -1.0, 0.0
	for _, n := range all {
		if n.Name != name || n.Event != "" || n.AtMillis > toMillis(to) {
			continue
		}
		if n.AtMillis <= toMillis(from) {
			lowest, until = n.NearShare, n.UntilMillis
			continue
		}
		if until > 0 && until < n.AtMillis {
			return 0
		}
		lowest, until = min(lowest, n.NearShare), n.UntilMillis
	}
	if until > 0 && until < toMillis(to) {
		return 0
	}
	return max(lowest, 0)
}
