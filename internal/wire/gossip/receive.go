package gossip

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// receive opens what a peer has sent. forward says that a status or a directory is to be passed on.
func (n *Node) receive(text []byte, forward bool) {
	e, err := decodeEnvelope(text)
	if err != nil {
		n.dropped.count(dropMalformed, err.Error())
		return
	}
	if e.From == n.cfg.Name {
		return
	}
	if e, err = n.unwrapCell(e); err != nil {
		n.dropped.count(unwrapDropReason(err), e.From)
		return
	}
	switch e.Kind {
	case kindStatus:
		n.receiveStatus(e, text, forward)
	case kindMessage:
		n.receiveMessage(e)
	case kindReadings, kindPlacements:
		n.receiveBatch(e)
	case kindSummary, kindDirectory:
		n.receiveFromCells(e, text, forward)
	default: // of a later version
		n.dropped.count(dropUnknown, strconv.Itoa(int(e.Kind)))
	}
}

// receiveStatus hands a status on that is newer than the one known.
func (n *Node) receiveStatus(e envelope, text []byte, forward bool) {
	var status membership.Status
	err := cbor.Unmarshal(e.Body, &status)
	if err != nil || !validStatus(status) || status.Incarnation != e.Incarnation || status.Seq != e.Seq {
		n.dropped.count(dropMalformed, "malformed status")
		return
	}
	if !n.peers.noteStatus(e, text) {
		return // gossip brings each several times
	}
	n.enqueueEvent(membership.StatusReceived{Name: e.From, Status: status})
	if n.peers.noteLifecycle(e.From, status.Lifecycle) {
		n.enqueueEvent(membership.PeerHealth{Name: e.From, Health: membership.HealthLeft})
	}
	if forward {
		n.mesh.broadcasts.add(e.From, text)
	}
}

// receiveMessage hands a message on that has not come before.
func (n *Node) receiveMessage(e envelope) {
	var message membership.Message
	err := cbor.Unmarshal(e.Body, &message)
	if err != nil || !validMessage(message) || message.FromIncarnation != e.Incarnation {
		n.dropped.count(dropMalformed, "malformed message")
		return
	}
	if !n.peers.isFirstDelivery(e.From, e.Incarnation, e.Seq) {
		n.dropped.count(dropReplayed, e.From)
		return
	}
	n.enqueueEvent(membership.MessageReceived{From: e.From, Message: message})
}

// receiveBatch hands readings or placements on that have not come before.
func (n *Node) receiveBatch(e envelope) {
	if n.cfg.OnProbingEvent == nil {
		return
	}
	event, err := decodeBatch(e)
	if err != nil {
		n.dropped.count(dropMalformed, err.Error())
		return
	}
	if !n.peers.isFirstDelivery(e.From, e.Incarnation, e.Seq) {
		n.dropped.count(dropReplayed, e.From)
		return
	}
	n.cfg.OnProbingEvent(event)
}
