package cluster

import (
	"encoding/json"
	"errors"
	"os"
	"slices"

	"capersail/internal/testing/faultpoint"
)

// Rule changes a relay's faults.
func (g *Cluster) Rule(i int, change func(*faultpoint.Rules)) error {
	change(&g.Relays[i].rules)
	return g.Relays[i].apply()
}

// Cut cuts what one relay sends to another, or lets it pass again.
func (g *Cluster) Cut(from, to int, on bool) { g.cut[[2]int{from, to}] = on }

// Split cuts the fleet: relays of different parts hear nothing of each other.
func (g *Cluster) Split(part []int) {
	for a := range g.Relays {
		for b := range g.Relays {
			g.Cut(a, b, part[a] != part[b])
		}
	}
}

// Blind keeps a relay from reaching servers, by their addresses; what stands falls silent and is reset at the heal.
func (g *Cluster) Blind(i int, servers ...string) { g.blind[i] = servers }

// Apply hands the cuts to all processes.
func (g *Cluster) Apply() error {
	var all []error
	for i, r := range g.Relays {
		r.rules.Cut, r.rules.CutFrom = slices.Clone(g.blind[i]), nil
		for j, o := range g.Relays {
			if g.cut[[2]int{i, j}] {
				r.rules.Cut = append(r.rules.Cut, o.Gossip)
			}
			if g.cut[[2]int{j, i}] {
				r.rules.CutFrom = append(r.rules.CutFrom, o.Gossip)
			}
		}
		all = append(all, r.apply())
	}
	return errors.Join(all...)
}

// Heal ends all faults: cuts, loss, stops; whoever is down stays down.
func (g *Cluster) Heal() error {
	clear(g.cut)
	clear(g.blind)
	for i, r := range g.Relays {
		r.rules = faultpoint.Rules{Seed: r.rules.Seed, Rate: r.rules.Rate, StepMs: r.rules.StepMs, LeaseMs: r.rules.LeaseMs, CellRate: r.rules.CellRate}
		g.Cont(i)
	}
	return g.Apply()
}

// apply hands the rules to the process: a file that is replaced at once.
func (r *Relay) apply() error {
	text, err := json.Marshal(r.rules)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.file("faults.new"), text, 0o600); err != nil {
		return err
	}
	return os.Rename(r.file("faults.new"), r.file("faults"))
}
