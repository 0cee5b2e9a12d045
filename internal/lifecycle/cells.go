package lifecycle

import (
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/membership"
	"capersail/internal/wire/gossip"
)

// cellSettings are the keys of the members' file that divide a fleet into cells. All of them are off without
// [plan].
type cellSettings struct {
	// Cell is this relay's own cell, one of the plan's.
	Cell string `toml:"cell"`
	// BootstrapSlot is this relay's number within its cell, from 0; nil for the settings' `me`.
	BootstrapSlot *int `toml:"place"`
	// Plan divides the fleet's budgets among the cells; nil for a flat fleet.
	Plan *cellplan.Plan `toml:"plan"`
}

// ownCell is this relay's cell; the zero one where the plan doesn't name it.
func (m *MembersConfig) ownCell() cellplan.Cell {
	if m.Plan == nil {
		return cellplan.Cell{}
	}
	cell, _ := m.Plan.FindCell(m.Cell)
	return cell
}

// inRegion tells whether the relay is of a cell of a region. Else it goes by the flat fleet's rules, on the
// wire and on disk, also where a plan gives the flat fleet a part.
func (m *MembersConfig) inRegion() bool { return m.Plan != nil && !m.ownCell().SpansRegions() }

// checkCells finds what is wrong with the cells of a file.
func (m *MembersConfig) checkCells(problems *configProblems) {
	if m.Plan == nil {
		problems.addIf(m.Cell != "", "cell", "%q is named, but there is no [plan]", m.Cell)
		problems.addIf(m.BootstrapSlot != nil, "place",
			"only a relay of a cell has one, and there is no [plan]")
		return
	}
	for _, err := range joinedErrors(m.Plan.Check()) {
		key := "plan"
		var problem *cellplan.FieldError
		if errors.As(err, &problem) {
			key, err = "plan."+problem.Key, errors.New(problem.Cause)
		}
		problems.add(key, err)
	}
	m.checkFirstPlan(problems)
	m.checkOwnCell(problems)
}

// joinedErrors are the errors that one error joins.
func joinedErrors(err error) []error {
	var joined interface{ Unwrap() []error }
	switch {
	case err == nil:
		return nil
	case errors.As(err, &joined):
		return joined.Unwrap()
	}
	return []error{err}
}

// planKey is the key of a cell's value.
func planKey(cell int, key string) string { return fmt.Sprintf("plan.cells[%d].%s", cell, key) }

// checkFirstPlan finds what plan 1 can't have: its cells take their parts at once, as nobody can have held
// any before.
func (m *MembersConfig) checkFirstPlan(problems *configProblems) {
	if m.Plan.Number != 1 {
		return
	}
	for i, cell := range m.Plan.Cells {
		problems.addIf(cell.SpansRegions(), planKey(i, "region"),
			"not set; a plan with a flat fleet in it has a number from 2 up")
		problems.addIf(cell.Relays == 0, planKey(i, "relays"),
			"none, and by plan 1 there is nothing that a cell could hand over")
	}
}

// checkOwnCell finds what is wrong with this relay's part in the plan.
func (m *MembersConfig) checkOwnCell(problems *configProblems) {
	if m.Cell == "" {
		problems.addIf(true, "cell",
			"not set, but there is a [plan]: the name of this relay's cell is wanted")
		return
	}
	_, known := m.Plan.FindCell(m.Cell)
	problems.addIf(!known, "cell", "%q is none of the plan's", m.Cell)
	problems.addIf(strings.ContainsRune(m.Cell, filepath.Separator), "cell",
		"%q has a %c, and the state file is called after it", m.Cell, filepath.Separator)
	switch {
	case m.BootstrapSlot != nil:
		problems.addIf(*m.BootstrapSlot < 0 || *m.BootstrapSlot > maxBootstrapSize, "place",
			"%d is not from 0 to %d", *m.BootstrapSlot, maxBootstrapSize)
	case known:
		problems.addIf(m.inRegion(), "place",
			"not set; this relay's number within cell %q is wanted, from 0", m.Cell)
	}
	problems.addIf(m.BootstrapSize != 0 && known && m.inRegion(), "founders",
		"in a cell the plan's relays found it; leave it out")
}

// configureCell makes a flat relay's node one of its cell. A cell with a region has its own seeds, record,
// slots and timing.
func (m *MembersConfig) configureCell(g *gossip.Config) {
	cell := m.ownCell()
	g.Cell, g.Plan = m.Cell, m.Plan
	if m.BootstrapSlot != nil {
		g.BootstrapSlot = *m.BootstrapSlot
	}
	if cell.SpansRegions() {
		return
	}
	g.Seeds = cell.Contacts
	g.BootstrapSize = max(cell.Relays, 1)
	g.StateFile += "." + m.Cell
	g.Timing = membership.CellTiming
}

// zoneNames are the names of the settings' zones.
func zoneNames(c *Config) []string { return slices.Sorted(maps.Keys(c.Deployment.Zones)) }

// checkZones finds a zone of the plan that the settings don't know. The error is a *ConfigError.
func (m *MembersConfig) checkZones(known []string) error {
	if m.Plan == nil {
		return nil
	}
	for i, c := range m.Plan.Cells {
		if c.Zone != "" && !slices.Contains(known, c.Zone) {
			return keyError(planKey(i, "zone"), "%q is none of the settings' zones", c.Zone)
		}
	}
	return nil
}

// checkReload tells why a file can't follow another one while the relay runs. The error is a *ConfigError.
func (m *MembersConfig) checkReload(next *MembersConfig) error {
	switch {
	case m.Plan == nil && next.Plan == nil:
		return nil
	case next.Plan == nil:
		return keyError("plan", "it can't be taken out while the relay runs")
	case m.Plan == nil && next.inRegion():
		return keyError("cell",
			"%q has a region; a relay of a flat fleet takes such a cell by a restart", next.Cell)
	case m.Plan == nil:
		return nil
	case m.Cell != next.Cell || m.inRegion() != next.inRegion():
		return keyError("cell", "a relay changes its cell by a restart")
	case next.Plan.Number < m.Plan.Number:
		return keyError("plan.number",
			"%d is below %d, which this relay has", next.Plan.Number, m.Plan.Number)
	case next.Plan.Number == m.Plan.Number && next.Plan.Hash() != m.Plan.Hash():
		return keyError("plan.number",
			"%d is the number of the plan that this relay has, but the plan differs", next.Plan.Number)
	}
	return nil
}
