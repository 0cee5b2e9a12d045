package gossip

import (
	"capersail/internal/fleet/cells"
)

// Cells reports what is known of the cells; nothing in a flat fleet without a plan.
func (n *Node) Cells() (cells.Report, bool) {
	l := n.cells.Load()
	if l == nil {
		return cells.Report{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return l.coordinator.Report(n.cellTime(n.now())), true
}

// CellTraffic is how many bytes of summaries and directories have gone out and come in.
func (n *Node) CellTraffic() (out, in uint64) {
	l := n.cells.Load()
	if l == nil {
		return 0, 0
	}
	return l.bytesOut.Load(), l.bytesIn.Load()
}
