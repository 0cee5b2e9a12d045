package cluster

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Cell is a cell of a ground's relays in a plan.
type Cell struct {
	Name, Region, Zone string
	Relays             []int // their numbers in the ground; their places go by this order
	Contacts           []int // of Relays, or of those to come; nil for the first three of Relays
	Weight             int   // its relays by the plan; 0 for a cell that goes away, whose relays may run still
}

// WritePlan writes a plan into the members' files of the relays of its cells. A process that runs takes it in at Hup.
func (fleet *Cluster) WritePlan(number uint64, cells []Cell) error {
	plan := fmt.Sprintf("\n[plan]\nnumber = %d\n", number)
	for _, c := range cells {
		plan += fleet.cellTable(c)
	}
	var all []error
	for _, c := range cells {
		for place, i := range c.Relays {
			own := fmt.Sprintf("cell = %q\n", c.Name)
			if c.Region != "" {
				own += fmt.Sprintf("place = %d\n", place)
			}
			all = append(all, fleet.writeMembers(i, c.Region != "", own+plan))
		}
	}
	return errors.Join(all...)
}

// Replan divides the fleet anew and has all processes of its cells take that in.
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

// RemovePlan takes plan and cell out of a relay's file.
func (fleet *Cluster) RemovePlan(i int) error { return fleet.writeMembers(i, false, "") }

// cellTable is a cell as the file has it.
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

// writeMembers writes a relay's members' file anew: what it had at first, and its part of a plan. A relay of a cell with a region
// has no founders of its own.
func (fleet *Cluster) writeMembers(i int, celled bool, more string) error {
	r := fleet.Relays[i]
	text := r.membersText
	if celled {
		lines := slices.DeleteFunc(strings.Split(text, "\n"), func(line string) bool { return strings.HasPrefix(line, "founders") })
		text = strings.Join(lines, "\n")
	}
	return os.WriteFile(r.path("members.toml"), []byte(text+more), 0o600)
}
