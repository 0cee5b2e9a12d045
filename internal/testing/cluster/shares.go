package cluster

import (
	"slices"

	"capersail/internal/testing/faultpoint"
)

// PeakShareSum is the greatest sum of shares that the relays took at any moment of the budgets of one zone, and when that was. A relay
// takes its share from its line on until the next one, until the share lapses, or until its process has ended; in a cell a near
// one in some zones and a far one in all others.
func PeakShareSum(all []faultpoint.Noted) (most float64, at float64) {
	held := map[string]faultpoint.Noted{}
	zones := []string{""} // one that is near to no cell
	for _, n := range all {
		for _, zone := range n.Zones {
			if !slices.Contains(zones, zone) {
				zones = append(zones, zone)
			}
		}
	}
	for _, n := range all {
		switch n.Event {
		case "":
			held[n.Name] = n
		case "kill":
			delete(held, n.Name)
		}
		for _, zone := range zones {
			sum := 0.0
			for _, h := range held {
				sum += h.Taken(zone, n.T)
			}
			if sum > most {
				most, at = sum, n.T
			}
		}
	}
	return most, at
}

// LowestNearShare is the least near share that a relay had at any moment between two: what it noted last before the first, and what it noted
// until the second. A share that lapsed meanwhile counts as none.
func LowestNearShare(all []faultpoint.Noted, name string, from, to float64) float64 {
	least, until := -1.0, 0.0
	for _, n := range all {
		if n.Name != name || n.Event != "" || n.T > to {
			continue
		}
		if n.T <= from {
			least, until = n.Share, n.Until
			continue
		}
		if until > 0 && until < n.T {
			return 0
		}
		least, until = min(least, n.Share), n.Until
	}
	if until > 0 && until < to {
		return 0
	}
	return max(least, 0)
}
