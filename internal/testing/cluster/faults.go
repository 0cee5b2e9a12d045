package cluster

import (
	"encoding/json"
	"errors"
	"os"
	"slices"

	"capersail/internal/testing/faultpoint"
)

// ChangeFaults changes a relay's faults.
func (fleet *Cluster) ChangeFaults(i int, change func(*faultpoint.Rules)) error {
	change(&fleet.Relays[i].faults)
	return fleet.Relays[i].writeFaults()
}

// Cut cuts what one relay sends to another, or ends that, at the next ApplyCuts.
func (fleet *Cluster) Cut(from, to int, on bool) { fleet.cuts[[2]int{from, to}] = on }

// Split cuts the fleet, at the next ApplyCuts: relays of different parts receive nothing of each other.
func (fleet *Cluster) Split(part []int) {
	for a := range fleet.Relays {
		for b := range fleet.Relays {
			fleet.Cut(a, b, part[a] != part[b])
		}
	}
}

// CutServers keeps a relay from reaching servers, by their addresses, at the next ApplyCuts. Open connections
// fall silent, and are reset at the heal.
func (fleet *Cluster) CutServers(i int, servers ...string) { fleet.cutServers[i] = servers }

// ApplyCuts writes the cuts to all processes.
func (fleet *Cluster) ApplyCuts() error {
	var errs []error
	for i, r := range fleet.Relays {
		r.faults.Cut = slices.Clone(fleet.cutServers[i])
		r.faults.CutFrom = nil
		for j, other := range fleet.Relays {
			if fleet.cuts[[2]int{i, j}] {
				r.faults.Cut = append(r.faults.Cut, other.Gossip)
			}
			if fleet.cuts[[2]int{j, i}] {
				r.faults.CutFrom = append(r.faults.CutFrom, other.Gossip)
			}
		}
		errs = append(errs, r.writeFaults())
	}
	return errors.Join(errs...)
}

// Heal ends all faults but those of clocks: cuts, loss, stops. A relay that is down stays down.
func (fleet *Cluster) Heal() error {
	clear(fleet.cuts)
	clear(fleet.cutServers)
	for i, r := range fleet.Relays {
		r.faults = faultpoint.Rules{
			Seed:            r.faults.Seed,
			ClockRate:       r.faults.ClockRate,
			WallClockStepMs: r.faults.WallClockStepMs,
			LeaseMs:         r.faults.LeaseMs,
			CellRate:        r.faults.CellRate,
		}
		fleet.Resume(i)
	}
	return fleet.ApplyCuts()
}

// writeFaults writes the faults to the file that the process reads, which is replaced in one step.
func (r *Relay) writeFaults() error {
	text, err := json.Marshal(r.faults)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.path("faults.new"), text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.path("faults.new"), r.path("faults"))
}
