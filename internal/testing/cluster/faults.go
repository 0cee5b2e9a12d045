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

// Cut cuts what one relay sends to another, or lets it pass again.
func (fleet *Cluster) Cut(from, to int, on bool) { fleet.cuts[[2]int{from, to}] = on }

// Split cuts the fleet: relays of different parts hear nothing of each other.
func (fleet *Cluster) Split(part []int) {
	for a := range fleet.Relays {
		for b := range fleet.Relays {
			fleet.Cut(a, b, part[a] != part[b])
		}
	}
}

// CutServers keeps a relay from reaching servers, by their addresses; what stands falls silent and is reset at the heal.
func (fleet *Cluster) CutServers(i int, servers ...string) { fleet.cutServers[i] = servers }

// ApplyCuts hands the cuts to all processes.
func (fleet *Cluster) ApplyCuts() error {
	var all []error
	for i, r := range fleet.Relays {
		r.faults.Cut, r.faults.CutFrom = slices.Clone(fleet.cutServers[i]), nil
		for j, o := range fleet.Relays {
			if fleet.cuts[[2]int{i, j}] {
				r.faults.Cut = append(r.faults.Cut, o.Gossip)
			}
			if fleet.cuts[[2]int{j, i}] {
				r.faults.CutFrom = append(r.faults.CutFrom, o.Gossip)
			}
		}
		all = append(all, r.writeFaults())
	}
	return errors.Join(all...)
}

// Heal ends all faults: cuts, loss, stops; whoever is down stays down.
func (fleet *Cluster) Heal() error {
	clear(fleet.cuts)
	clear(fleet.cutServers)
	for i, r := range fleet.Relays {
		r.faults = faultpoint.Rules{Seed: r.faults.Seed, Rate: r.faults.Rate, StepMs: r.faults.StepMs, LeaseMs: r.faults.LeaseMs, CellRate: r.faults.CellRate}
		fleet.Cont(i)
	}
	return fleet.ApplyCuts()
}

// writeFaults hands the rules to the process: a file that is replaced at once.
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
