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

// cellSettings are the keys of the members file that divide a fleet into cells. None of them may be set
// without [plan].
type cellSettings struct {
	// Cell is the name of this relay's cell in the plan.
	Cell string `toml:"cell"`
	// BootstrapSlot is this relay's number within its cell, from 0; nil to use `me` of the platform's
	// settings.
	BootstrapSlot *int `toml:"place"`
	// Plan divides the fleet's budgets among the cells; nil for a flat fleet, one without cells.
	Plan *cellplan.Plan `toml:"plan"`
}

// ownCell returns this relay's cell, or the zero value if the plan doesn't contain it.
func (m *MembersConfig) ownCell() cellplan.Cell {
	if m.Plan == nil {
		return cellplan.Cell{}
	}
	cell, _ := m.Plan.FindCell(m.Cell)
	return cell
}

// inRegion reports whether the relay belongs to a cell with a region. All other relays use the protocol and
// the state file of a flat fleet, even if a plan assigns a share of the budgets to the flat fleet.
func (m *MembersConfig) inRegion() bool { return m.Plan != nil && !m.ownCell().SpansRegions() }

// checkCells adds the problems of the keys about cells.
func (m *MembersConfig) checkCells(problems *configProblems) {
	if m.Plan == nil {
		problems.addIf(m.Cell != "", "cell", "%q is set, but there is no [plan]", m.Cell)
		problems.addIf(m.BootstrapSlot != nil, "place",
			"set, but there is no [plan]; only a relay of a cell has a place")
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

// joinedErrors returns the errors that errors.Join has joined, or err itself if it joins none.
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

// planKey returns the full key of a setting of a cell, the cell given by its index.
func planKey(cell int, key string) string { return fmt.Sprintf("plan.cells[%d].%s", cell, key) }

// checkFirstPlan adds the problems that only plan 1 can have. The cells of plan 1 take their shares of the
// budgets at once, because nobody has held a share before. So plan 1 can neither contain the flat fleet nor
// a cell without relays, which could only hand shares over.
func (m *MembersConfig) checkFirstPlan(problems *configProblems) {
	if m.Plan.Number != 1 {
		return
	}
	for i, cell := range m.Plan.Cells {
		problems.addIf(cell.SpansRegions(), planKey(i, "region"),
			"not set, which stands for the flat fleet; a plan that contains it has number 2 or higher")
		problems.addIf(cell.Relays == 0, planKey(i, "relays"),
			"0, but in plan 1 a cell without relays has no share to hand over")
	}
}

// checkOwnCell adds the problems with this relay's cell and its place in the cell.
func (m *MembersConfig) checkOwnCell(problems *configProblems) {
	if m.Cell == "" {
		problems.addIf(true, "cell",
			"not set, but there is a [plan]: set it to the name of this relay's cell")
		return
	}
	_, known := m.Plan.FindCell(m.Cell)
	problems.addIf(!known, "cell", "%q is not a cell of the plan", m.Cell)
	problems.addIf(strings.ContainsRune(m.Cell, filepath.Separator), "cell",
		"%q contains %c, which the name of the state file must not contain", m.Cell, filepath.Separator)
	switch {
	case m.BootstrapSlot != nil:
		problems.addIf(*m.BootstrapSlot < 0 || *m.BootstrapSlot > maxBootstrapSize, "place",
			"%d is not from 0 to %d", *m.BootstrapSlot, maxBootstrapSize)
	case known:
		problems.addIf(m.inRegion(), "place",
			"not set; set it to this relay's number within cell %q, from 0", m.Cell)
	}
	problems.addIf(m.BootstrapSize != 0 && known && m.inRegion(), "founders",
		"not allowed for a cell, which is founded by as many relays as the plan says: remove it")
}

// configureCell adapts the gossip configuration of a flat fleet to this relay's cell. A cell with a region
// has its own seeds, state file, bootstrap slots and timing.
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

// zoneNames returns the names of the zones in the platform's settings, sorted.
func zoneNames(c *Config) []string { return slices.Sorted(maps.Keys(c.Deployment.Zones)) }

// checkZones fails if the plan has a zone that the platform's settings don't have. The error is a
// *ConfigError.
func (m *MembersConfig) checkZones(known []string) error {
	if m.Plan == nil {
		return nil
	}
	for i, c := range m.Plan.Cells {
		if c.Zone != "" && !slices.Contains(known, c.Zone) {
			return keyError(planKey(i, "zone"), "%q is not a zone of the platform's settings", c.Zone)
		}
	}
	return nil
}

// checkReload fails if a running relay cannot change to the cell or the plan of another file. The error is a
// *ConfigError.
func (m *MembersConfig) checkReload(next *MembersConfig) error {
	switch {
	case m.Plan == nil && next.Plan == nil:
		return nil
	case next.Plan == nil:
		return keyError("plan", "it cannot be removed while the relay runs: restart the relay")
	case m.Plan == nil && next.inRegion():
		return keyError("cell",
			"%q has a region; a relay of a flat fleet joins such a cell only by a restart", next.Cell)
	case m.Plan == nil:
		return nil
	case m.Cell != next.Cell || m.inRegion() != next.inRegion():
		return keyError("cell", "a relay changes its cell only by a restart")
	case next.Plan.Number < m.Plan.Number:
		return keyError("plan.number",
			"%d is lower than %d, the number of this relay's plan", next.Plan.Number, m.Plan.Number)
	case next.Plan.Number == m.Plan.Number && next.Plan.Hash() != m.Plan.Hash():
		return keyError("plan.number",
			"%d is also the number of this relay's plan, but the plans differ: use a higher number",
			next.Plan.Number)
	}
	return nil
}
