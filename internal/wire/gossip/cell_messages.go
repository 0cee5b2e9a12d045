package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/cells"
)

// sendSummary sends a summary of this cell to a relay of another cell, as one packet.
func (n *Node) sendSummary(driver *cellDriver, action cells.SendSummary) {
	list := n.gossip.list.Load()
	if list == nil {
		return
	}
	data, err := encodeEnvelope(n.cfg.Name, action.Summary.Incarnation, n.gossip.seq.Add(1), kindSummary,
		action.Summary)
	if err != nil {
		n.log.Error().Err(err).Msg("cannot encode this cell's summary, not sent: report it as a bug")
		return
	}
	driver.bytesOut.Add(uint64(len(data)))
	if err := list.SendToAddress(memberlist.Address{Addr: action.Address}, data); err != nil {
		n.dropped.count(dropUnsent, err.Error())
	}
}

// publishDirectory broadcasts the directory of all cells to the relays of this cell.
func (n *Node) publishDirectory(driver *cellDriver, directory cells.Directory) {
	data, err := n.encodeForCell(directory.Incarnation, n.gossip.seq.Add(1), kindDirectory, directory)
	if err != nil {
		n.log.Error().Err(err).Msg("cannot encode the directory of cells, not sent: report it as a bug")
		return
	}
	driver.bytesOut.Add(uint64(len(data)))
	n.gossip.broadcasts.add(directoryBroadcastName, data)
}

// directoryBroadcastName is the name of all directories in the broadcastQueue, so that a newer directory
// replaces an older one even if another relay has become the representative. It cannot be the name of a
// relay, as relay names have no unprintable bytes.
const directoryBroadcastName = "\x00directory"

// directoryVersion orders the directories that one representative sends.
type directoryVersion struct{ incarnation, seq uint64 }

func (v directoryVersion) olderThan(other directoryVersion) bool {
	return v.incarnation < other.incarnation || v.incarnation == other.incarnation && v.seq < other.seq
}

// receiveCellMessage handles a received summary or directory. forward states whether a directory is
// broadcast again.
func (n *Node) receiveCellMessage(e envelope, data []byte, forward bool) {
	driver := n.cells.Load()
	if driver == nil {
		n.dropped.count(dropUnknown, "message between cells, but this relay has no plan of cells")
		return
	}
	driver.bytesIn.Add(uint64(len(data)))
	if e.Kind == kindDirectory {
		n.receiveDirectory(driver, e, data, forward)
	} else {
		n.receiveSummary(driver, e)
	}
}

// receiveDirectory queues a directory for the Coordinator if it is newer than the last one from the same
// representative.
func (n *Node) receiveDirectory(driver *cellDriver, e envelope, data []byte, forward bool) {
	var d cells.Directory
	err := cbor.Unmarshal(e.Body, &d)
	if err != nil || d.Check() != nil || d.Representative != e.From || d.Incarnation != e.Incarnation {
		n.dropped.count(dropMalformed, "malformed directory")
		return
	}
	if !n.peers.updateDirectory(d.Representative, directoryVersion{d.Incarnation, d.Seq}) {
		return // gossip delivers each directory several times
	}
	if forward {
		n.gossip.broadcasts.add(directoryBroadcastName, data)
	}
	n.enqueueCellEvent(driver, cells.DirectoryReceived{From: e.From, Directory: d})
}

// receiveSummary queues a summary for the Coordinator unless it is a duplicate. A summary comes from the
// representative of its cell, or from a relay of this cell that has forwarded it.
func (n *Node) receiveSummary(driver *cellDriver, e envelope) {
	var s cells.Summary
	err := cbor.Unmarshal(e.Body, &s)
	direct := !s.Forwarded
	sentByRepresentative := s.Representative == e.From && s.Incarnation == e.Incarnation
	if err != nil || s.Check() != nil || direct && !sentByRepresentative {
		n.dropped.count(dropMalformed, "malformed summary")
		return
	}
	sender := e.From
	if direct { // a relay that moves to another cell restarts its numbering
		sender = s.Cell + "\x00" + e.From
	}
	if !n.peers.isFirstDelivery(sender, e.Incarnation, e.Seq) {
		n.dropped.count(dropReplayed, e.From)
		return
	}
	n.enqueueCellEvent(driver, cells.SummaryReceived{From: e.From, Summary: s})
}
