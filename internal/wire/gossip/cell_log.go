package gossip

import (
	"fmt"
	"slices"

	"github.com/rs/zerolog"

	"capersail/internal/fleet/cells"
)

// logCellChange logs a change of a cell, with its cause.
func (n *Node) logCellChange(driver *cellDriver, change cells.CellChanged) {
	cause := n.cellChangeCause(driver, change)
	if change.Kind == cells.RepresentativeChanged && change.Cell == driver.cell {
		driver.representative = change.Representative
	}
	addFields := func(event *zerolog.Event) {
		event.Str("what", change.Kind.String()).Str("cell", change.Cell)
		if change.Representative != "" {
			event.Str("speaker", change.Representative)
		}
		if change.Plan > 0 {
			event.Uint64("plan", change.Plan)
		}
		event.Str("cause", cause)
	}
	if change.Kind == cells.PlanMismatch {
		n.log.Warn().Func(addFields).
			Msg("another cell has a different plan under the same number: give both cells the same file")
		return
	}
	n.log.Info().Func(addFields).Msg("state of a cell changed")
}

// cellChangeCause returns the cause of a change of a cell, for the log.
func (n *Node) cellChangeCause(driver *cellDriver, change cells.CellChanged) string {
	switch change.Kind {
	case cells.RepresentativeChanged:
		if change.Cell == driver.cell {
			return n.representativeCause(driver, change.Representative)
		}
		return "the cell's summary names another representative"
	case cells.CellLost:
		return fmt.Sprintf("no summary of the cell received for %d rounds", cells.UnknownAfterRounds)
	case cells.CellKnown:
		return "received a summary of the cell"
	case cells.PlanMismatch:
		return "the cell's plan table differs from this cell's; its reports about the plan are ignored"
	case cells.PlanActivated:
		return "every cell has joined the plan"
	}
	return ""
}

// representativeCause returns the cause of a change of this cell's representative to the relay named next.
func (n *Node) representativeCause(driver *cellDriver, next string) string {
	previous := driver.representative
	if previous == "" {
		return "the new representative is the first voter that is alive"
	}
	if previous == n.cfg.Name {
		return next + " comes before this relay in the list of voters"
	}
	if departed, ok := driver.departures[previous]; ok {
		return previous + " has " + departed.state
	}
	isPrevious := func(voter cells.Voter) bool { return voter.Name == previous }
	if !slices.ContainsFunc(driver.lastLocalCell.Voters, isPrevious) {
		return previous + " is no longer a voter"
	}
	return next + " comes before " + previous + " in the list of voters"
}
