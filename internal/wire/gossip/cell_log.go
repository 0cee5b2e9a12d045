package gossip

import (
	"fmt"
	"slices"

	"capersail/internal/fleet/cells"
)

// logCellChange tells people of a change among cells, with its cause.
func (n *Node) logCellChange(l *cellLink, c cells.Changed) {
	cause := ""
	switch {
	case c.Kind == cells.RepresentativeChanged && c.Cell == l.cell:
		cause = n.representativeCause(l, c.Representative)
		l.representative = c.Representative
	case c.Kind == cells.RepresentativeChanged:
		cause = "its summary"
	case c.Kind == cells.CellLost:
		cause = fmt.Sprintf("nothing heard for %d rounds", cells.UnknownAfterRounds)
	case c.Kind == cells.CellKnown:
		cause = "a summary"
	case c.Kind == cells.PlanMismatch:
		cause = "its table differs from this cell's; what it says of the plan is not counted"
	case c.Kind == cells.PlanActivated:
		cause = "every cell has entered it"
	}
	event := n.log.Info()
	if c.Kind == cells.PlanMismatch {
		event = n.log.Warn()
	}
	event = event.Str("what", c.Kind.String()).Str("cell", c.Cell)
	if c.Representative != "" {
		event = event.Str("speaker", c.Representative)
	}
	if c.Plan > 0 {
		event = event.Uint64("plan", c.Plan)
	}
	event.Str("cause", cause).Msg("cells")
}

// representativeCause is why another relay speaks for this cell.
func (n *Node) representativeCause(l *cellLink, speaker string) string {
	before := l.representative
	if before == "" {
		return "it is the first voter that is alive"
	}
	if before == n.cfg.Name {
		return speaker + " comes before this relay among the voters"
	}
	if gone, ok := l.departed[before]; ok {
		return before + " has " + gone.state
	}
	if !slices.ContainsFunc(l.lastReport.Voters, func(v cells.Voter) bool { return v.Name == before }) {
		return before + " votes no more"
	}
	return speaker + " comes before " + before + " among the voters"
}
