package cluster

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"

	"capersail/internal/testing/faultpoint"
)

// Cell is a cell of a ground's relays in a plan.
type Cell struct {
	Name, Region, Zone string
	Relays             []int // their numbers in the ground; their places go by this order
	Contacts           []int // of Relays, or of those to come; nil for the first three of Relays
	Weight             int   // its relays by the plan; 0 for a cell that goes away, whose relays may run still
}

// Divide writes a plan into the members' files of the relays of its cells. A process that runs takes it in at Hup.
func (g *Cluster) Divide(number uint64, cells []Cell) error {
	plan := fmt.Sprintf("\n[plan]\nnumber = %d\n", number)
	for _, c := range cells {
		plan += g.table(c)
	}
	var all []error
	for _, c := range cells {
		for place, i := range c.Relays {
			own := fmt.Sprintf("cell = %q\n", c.Name)
			if c.Region != "" {
				own += fmt.Sprintf("place = %d\n", place)
			}
			all = append(all, g.writeMembers(i, c.Region != "", own+plan))
		}
	}
	return errors.Join(all...)
}

// table is a cell as the file has it.
func (g *Cluster) table(c Cell) string {
	var contacts []string
	relays := c.Contacts
	if relays == nil {
		relays = c.Relays[:min(len(c.Relays), 3)]
	}
	for _, i := range relays {
		contacts = append(contacts, fmt.Sprintf("%q", g.Relays[i].Gossip))
	}
	text := fmt.Sprintf("\n[[plan.cells]]\nname = %q\ncontacts = [%s]\n", c.Name, strings.Join(contacts, ", "))
	if c.Region != "" {
		text += fmt.Sprintf("region = %q\nzone = %q\n", c.Region, c.Zone)
	}
	return text + fmt.Sprintf("relays = %d\n", c.Weight)
}

// Flatten takes plan and cell out of a relay's file.
func (g *Cluster) Flatten(i int) error { return g.writeMembers(i, false, "") }

// writeMembers writes a relay's members' file anew: what it had at first, and its part of a plan. A relay of a cell with a region
// has no founders of its own.
func (g *Cluster) writeMembers(i int, celled bool, more string) error {
	r := g.Relays[i]
	text := r.members
	if celled {
		lines := slices.DeleteFunc(strings.Split(text, "\n"), func(line string) bool { return strings.HasPrefix(line, "founders") })
		text = strings.Join(lines, "\n")
	}
	return os.WriteFile(r.file("members.toml"), []byte(text+more), 0o600)
}

// Replan divides the fleet anew and has all processes of its cells take that in.
func (g *Cluster) Replan(number uint64, cells []Cell) error {
	if err := g.Divide(number, cells); err != nil {
		return err
	}
	for _, c := range cells {
		for _, i := range c.Relays {
			g.Hup(i)
		}
	}
	return nil
}

// Hup has a relay's process read its files again.
func (g *Cluster) Hup(i int) {
	if r := g.Relays[i]; r.up {
		r.cmd.Process.Signal(syscall.SIGHUP)
	}
}

// AgreeInCells tells whether the relays that run agree within each cell, and act by the parts of a plan that all cells have entered.
func (g *Cluster) AgreeInCells(number uint64, cells []Cell) error {
	last, err := g.Last()
	if err != nil {
		return err
	}
	for _, c := range cells {
		var names []string
		for _, i := range c.Relays {
			if g.Relays[i].up {
				names = append(names, g.Relays[i].Name)
			}
		}
		slices.Sort(names)
		if err := agree(last, names, true); err != nil {
			return fmt.Errorf("cell %s: %w", c.Name, err)
		}
		for _, name := range names {
			if n := last[name]; n.Plan != number || !n.Open {
				return fmt.Errorf("cell %s: %s goes by plan %d, opened: %v; %d is wanted", c.Name, name, n.Plan, n.Open, number)
			}
		}
	}
	return nil
}

// HearCells tells whether every relay that runs hears of so many cells, by its directory.
func (g *Cluster) HearCells(want int) error {
	last, err := g.Last()
	if err != nil {
		return err
	}
	for _, r := range g.Relays {
		if n := last[r.Name]; r.up && n.CellsHeard != want {
			return fmt.Errorf("%s hears of %d cells, not of %d", r.Name, n.CellsHeard, want)
		}
	}
	return nil
}

// LeastNear is the least near share that a relay had at any moment between two: what it noted last before the first, and what it noted
// until the second. A share that lapsed meanwhile counts as none.
func LeastNear(all []faultpoint.Noted, name string, from, to float64) float64 {
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
