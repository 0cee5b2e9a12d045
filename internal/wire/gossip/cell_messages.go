package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/cells"
)

// sendSummary sends a summary to an address of another cell, as one packet.
func (n *Node) sendSummary(link *cellLink, a cells.SendSummary) {
	list := n.mesh.list.Load()
	if list == nil {
		return
	}
	text, err := encodeEnvelope(n.cfg.Name, a.Summary.Incarnation, n.mesh.seq.Add(1), kindSummary, a.Summary)
	if err != nil {
		n.log.Error().Err(err).Msg("cell's summary cannot be encoded, not sent: report it with its error")
		return
	}
	link.bytesOut.Add(uint64(len(text)))
	if err := list.SendToAddress(memberlist.Address{Addr: a.Address}, text); err != nil {
		n.dropped.count(dropUnsent, err.Error())
	}
}

// publishDirectory broadcasts a directory of all cells to this cell.
func (n *Node) publishDirectory(link *cellLink, directory cells.Directory) {
	text, err := n.encodeForCell(directory.Incarnation, n.mesh.seq.Add(1), kindDirectory, directory)
	if err != nil {
		n.log.Error().Err(err).Msg("cells' directory cannot be encoded, not sent: report it with its error")
		return
	}
	link.bytesOut.Add(uint64(len(text)))
	n.mesh.broadcasts.add(directoryBroadcastName, text)
}

// directoryBroadcastName is the name of directories in the broadcastQueue: a newer one replaces an older one,
// whoever is the representative. No relay has such a name, as those have printable bytes only.
const directoryBroadcastName = "\x00directory"

// directoryMark orders the directories of a representative.
type directoryMark struct{ incarnation, seq uint64 }

func (m directoryMark) before(o directoryMark) bool {
	return m.incarnation < o.incarnation || m.incarnation == o.incarnation && m.seq < o.seq
}

// receiveFromCells takes in a summary or a directory. forward says that a directory is to be passed on.
func (n *Node) receiveFromCells(e envelope, text []byte, forward bool) {
	link := n.cells.Load()
	if link == nil {
		n.dropped.count(dropUnknown, "of cells, and there is no plan here")
		return
	}
	link.bytesIn.Add(uint64(len(text)))
	if e.Kind == kindDirectory {
		n.receiveDirectory(link, e, text, forward)
	} else {
		n.receiveSummary(link, e)
	}
}

// receiveDirectory hands a directory on that is newer than the one known.
func (n *Node) receiveDirectory(link *cellLink, e envelope, text []byte, forward bool) {
	var d cells.Directory
	err := cbor.Unmarshal(e.Body, &d)
	if err != nil || d.Check() != nil || d.Representative != e.From || d.Incarnation != e.Incarnation {
		n.dropped.count(dropMalformed, "malformed directory")
		return
	}
	if !n.peers.noteDirectory(d.Representative, directoryMark{d.Incarnation, d.Seq}) {
		return // gossip brings each several times
	}
	if forward {
		n.mesh.broadcasts.add(directoryBroadcastName, text)
	}
	n.enqueueCellEvent(link, cells.DirectoryReceived{From: e.From, Directory: d})
}

// receiveSummary hands a summary on that has not come before: from its representative, or as a relay of this
// cell has forwarded it.
func (n *Node) receiveSummary(link *cellLink, e envelope) {
	var s cells.Summary
	err := cbor.Unmarshal(e.Body, &s)
	fromOther := !s.Forwarded
	own := s.Representative == e.From && s.Incarnation == e.Incarnation
	if err != nil || s.Check() != nil || fromOther && !own {
		n.dropped.count(dropMalformed, "malformed summary")
		return
	}
	sender := e.From
	if fromOther { // a relay that has changed its cell counts anew
		sender = s.Cell + "\x00" + e.From
	}
	if !n.peers.isFirstDelivery(sender, e.Incarnation, e.Seq) {
		n.dropped.count(dropReplayed, e.From)
		return
	}
	n.enqueueCellEvent(link, cells.SummaryReceived{From: e.From, Summary: s})
}
