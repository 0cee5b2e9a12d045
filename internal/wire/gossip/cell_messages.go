package gossip

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/cells"
)

// sendSummary sends a summary to an address of another cell, as one packet.
func (n *Node) sendSummary(l *cellLink, a cells.SendSummary) {
	list := n.list.Load()
	if list == nil {
		return
	}
	text, err := encodeEnvelope(n.cfg.Name, a.Summary.Incarnation, n.seq.Add(1), kindSummary, a.Summary)
	if err != nil {
		n.log.Error().Err(err).Msg("members: a summary cannot be written")
		return
	}
	l.bytesOut.Add(uint64(len(text)))
	if err := list.SendToAddress(memberlist.Address{Addr: a.Address}, text); err != nil {
		n.dropped.count(dropUnsent, err.Error())
	}
}

// publishDirectory tells this cell of all others.
func (n *Node) publishDirectory(l *cellLink, d cells.Directory) {
	text, err := n.encodeForCell(d.Incarnation, n.seq.Add(1), kindDirectory, d)
	if err != nil {
		n.log.Error().Err(err).Msg("members: the directory cannot be written")
		return
	}
	l.bytesOut.Add(uint64(len(text)))
	n.queue.QueueBroadcast(&directoryBroadcast{text})
}

// directoryBroadcast is a directory on its way round the cell; a newer one takes its place, whoever speaks.
type directoryBroadcast struct{ text []byte }

// Name is no relay's: those print.
func (b *directoryBroadcast) Name() string { return "\x00directory" }

func (b *directoryBroadcast) Invalidates(o memberlist.Broadcast) bool {
	_, ok := o.(*directoryBroadcast)
	return ok
}

func (b *directoryBroadcast) Message() []byte { return b.text }

func (b *directoryBroadcast) Finished() {}

// receiveFromCell takes in a summary or a directory. forward says that a directory is to be passed on.
func (n *Node) receiveFromCell(e envelope, text []byte, forward bool) {
	l := n.cells.Load()
	if l == nil {
		n.dropped.count(dropUnknown, "of cells, and there is no plan here")
		return
	}
	l.bytesIn.Add(uint64(len(text)))
	if e.Kind == kindDirectory {
		var d cells.Directory
		if err := cbor.Unmarshal(e.Body, &d); err != nil || d.Check() != nil || d.Representative != e.From || d.Incarnation != e.Incarnation {
			n.dropped.count(dropMalformed, "a directory that makes no sense")
			return
		}
		if !n.noteDirectory(l, d) {
			return // gossip brings each several times
		}
		if forward {
			n.queue.QueueBroadcast(&directoryBroadcast{text})
		}
		n.enqueueCellEvent(l, cells.DirectoryReceived{From: e.From, Directory: d})
		return
	}
	var s cells.Summary
	if err := cbor.Unmarshal(e.Body, &s); err != nil || s.Check() != nil || !s.Forwarded && (s.Representative != e.From || s.Incarnation != e.Incarnation) {
		n.dropped.count(dropMalformed, "a summary that makes no sense")
		return
	}
	sender := e
	if !s.Forwarded { // a relay that has changed its cell counts anew
		sender.From = s.Cell + "\x00" + e.From
	}
	if !n.isFirstDelivery(sender) {
		n.dropped.count(dropReplayed, e.From)
		return
	}
	n.enqueueCellEvent(l, cells.SummaryReceived{From: e.From, Summary: s})
}

// directoryMark orders the directories of a speaker.
type directoryMark struct{ incarnation, seq uint64 }

func (m directoryMark) before(o directoryMark) bool {
	return m.incarnation < o.incarnation || m.incarnation == o.incarnation && m.seq < o.seq
}

// noteDirectory notes a directory, and tells whether it is newer than all of its speaker's.
func (n *Node) noteDirectory(l *cellLink, d cells.Directory) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	mark := directoryMark{d.Incarnation, d.Seq}
	old, known := l.newestDirectories[d.Representative]
	if known && !old.before(mark) || !known && len(l.newestDirectories) >= maxPeers {
		return false
	}
	l.newestDirectories[d.Representative] = mark
	return true
}

// enqueueCellEvent queues an event. When there is no room it is dropped: all that is said is said again.
func (n *Node) enqueueCellEvent(l *cellLink, ev cells.Event) {
	select {
	case l.inbox <- ev:
	default:
		n.dropped.count(dropOverflow, "")
	}
}
