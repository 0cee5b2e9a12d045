package scale

import (
	"fmt"

	"capersail/decide"
	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/membership"
	"capersail/internal/wire/gossip"
)

// cellLayout is a fleet's division into cells: the relays of each zone are divided into CellsPerZone cells.
type cellLayout struct {
	plan    cellplan.Plan
	members map[string][]int // by cell: the numbers of its relays
	zones   map[string]decide.Zone
}

// cellOf returns the name of the cell of relay i.
func (c Config) cellOf(i int) string {
	cell := i / c.Layout.Zones % c.CellsPerZone
	return fmt.Sprintf("%s-%c", c.Layout.Place(i).Zone, 'a'+rune(cell))
}

// contactsPerCell is how many relays of a cell are the plan's contacts for other cells, and the seeds of its
// own relays.
const contactsPerCell = 3

func newCellLayout(c Config) *cellLayout {
	p := &cellLayout{
		plan:    cellplan.Plan{Number: 1, HomeShare: cellplan.DefaultHomeShare},
		members: map[string][]int{},
		zones:   map[string]decide.Zone{},
	}
	var names []string
	for i := range c.Relays {
		name := c.cellOf(i)
		if p.members[name] == nil {
			names = append(names, name)
		}
		p.members[name] = append(p.members[name], i)
	}
	for _, name := range names {
		members := p.members[name]
		place := c.Layout.Place(members[0])
		cell := cellplan.Cell{
			Name:   name,
			Region: place.Region,
			Zone:   place.Zone,
			Relays: len(members),
		}
		for _, i := range members[:min(contactsPerCell, len(members))] {
			cell.Contacts = append(cell.Contacts, Address(i))
		}
		p.plan.Cells = append(p.plan.Cells, cell)
		p.zones[place.Zone] = decide.Zone(members[0] % c.Layout.Zones)
	}
	return p
}

// configure sets the cell, the plan and the cell's bootstrap slots in the configuration of relay i.
func (p *cellLayout) configure(c *gossip.Config, cell string, i int) {
	members := p.members[cell]
	c.Cell = cell
	c.Plan = &p.plan
	c.Timing = membership.CellTiming
	c.Zones = p.zones
	c.BootstrapSize = len(members)
	c.Seeds = nil
	for place, member := range members {
		if member == i {
			c.BootstrapSlot = place
		}
		if place < contactsPerCell {
			c.Seeds = append(c.Seeds, Address(member))
		}
	}
}
