package gossip

import (
	"fmt"
	"slices"

	"github.com/rs/zerolog"

	"capersail/internal/fleet/cells"
)

// logCellChange says what has changed among cells, with its cause.
func (n *Node) logCellChange(link *cellLink, change cells.CellChanged) {
	cause := n.cellChangeCause(link, change)
	if change.Kind == cells.RepresentativeChanged && change.Cell == link.cell {
		link.representative = change.Representative
	}
	facts := func(event *zerolog.Event) {
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
		n.log.Warn().Func(facts).
			Msg("cell has another plan under the same number: give both cells the same file")
		return
	}
	n.log.Info().Func(facts).Msg("cell changed")
}

// cellChangeCause is why a cell has changed.
func (n *Node) cellChangeCause(link *cellLink, change cells.CellChanged) string {
	switch change.Kind {
	case cells.RepresentativeChanged:
		if change.Cell == link.cell {
			return n.representativeCause(link, change.Representative)
		}
		return "its summary"
	case cells.CellLost:
		return fmt.Sprintf("no summary for %d rounds", cells.UnknownAfterRounds)
	case cells.CellKnown:
		return "a summary"
	case cells.PlanMismatch:
		return "its table differs from this cell's; what it says of the plan is not counted"
	case cells.PlanActivated:
		return "every cell has joined it"
	}
	return ""
}

// representativeCause is why another relay is this cell's representative.
func (n *Node) representativeCause(link *cellLink, next string) string {
	before := link.representative
	if before == "" {
		return "it is the first voter that is alive"
	}
	if before == n.cfg.Name {
		return next + " comes before this relay among the voters"
	}
	if gone, ok := link.departed[before]; ok {
		return before + " has " + gone.state
	}
	votes := func(voter cells.Voter) bool { return voter.Name == before }
	if !slices.ContainsFunc(link.lastReport.Voters, votes) {
		return before + " is no longer a voter"
	}
	return next + " comes before " + before + " among the voters"
}
