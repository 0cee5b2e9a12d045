package cluster

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Cell is a cell in a plan.
type Cell struct {
	Name   string
	Region string // "" for the flat fleet before there are cells
	Zone   string

	Relays   []int // the relays' numbers in the cluster, in the order of their places
	Contacts []int // of Relays, or of relays that will be; nil for the first three of Relays
	Weight   int   // how many relays the plan gives it; 0 for a cell that goes away, whose relays may still run
}

// WritePlan writes a plan into the members' files of the relays of its cells. A process that runs reads it at
// Reload.
func (fleet *Cluster) WritePlan(number uint64, cells []Cell) error {
	plan := fmt.Sprintf("\n[plan]\nnumber = %d\n", number)
	for _, c := range cells {
		plan += fleet.cellTable(c)
	}
	var errs []error
	for _, c := range cells {
		for place, i := range c.Relays {
			own := fmt.Sprintf("cell = %q\n", c.Name)
			if c.Region != "" {
				own += fmt.Sprintf("place = %d\n", place)
			}
			errs = append(errs, fleet.writeMembers(i, c.Region != "", own+plan))
		}
	}
	return errors.Join(errs...)
}

// Replan writes a plan and has all processes of its cells reload.
func (fleet *Cluster) Replan(number uint64, cells []Cell) error {
	if err := fleet.WritePlan(number, cells); err != nil {
		return err
	}
	for _, c := range cells {
		for _, i := range c.Relays {
			fleet.Reload(i)
		}
	}
	return nil
}

// RemovePlan takes plan and cell out of a relay's members' file.
func (fleet *Cluster) RemovePlan(i int) error { return fleet.writeMembers(i, false, "") }

// cellTable returns a cell as the members' file has it.
func (fleet *Cluster) cellTable(c Cell) string {
	var contacts []string
	relays := c.Contacts
	if relays == nil {
		relays = c.Relays[:min(len(c.Relays), 3)]
	}
	for _, i := range relays {
		contacts = append(contacts, fmt.Sprintf("%q", fleet.Relays[i].Gossip))
	}
	text := fmt.Sprintf("\n[[plan.cells]]\nname = %q\ncontacts = [%s]\n", c.Name, strings.Join(contacts, ", "))
	if c.Region != "" {
		text += fmt.Sprintf("region = %q\nzone = %q\n", c.Region, c.Zone)
	}
	return text + fmt.Sprintf("relays = %d\n", c.Weight)
}

// writeMembers writes a relay's members' file anew: what it had at first, and its part of a plan. A relay of
// a cell with a region has no bootstrap size of its own.
func (fleet *Cluster) writeMembers(i int, hasRegion bool, plan string) error {
	r := fleet.Relays[i]
	text := r.membersText
	if hasRegion {
		isFounders := func(line string) bool { return strings.HasPrefix(line, "founders") }
		lines := slices.DeleteFunc(strings.Split(text, "\n"), isFounders)
		text = strings.Join(lines, "\n")
	}
	return os.WriteFile(r.path("members.toml"), []byte(text+plan), 0o600)
}
