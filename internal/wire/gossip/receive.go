package gossip

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// receiveEnvelope decodes and handles an envelope from a peer. forward states whether a status or a directory
// is broadcast again.
func (n *Node) receiveEnvelope(data []byte, forward bool) {
	e, err := decodeEnvelope(data)
	if err != nil {
		n.dropped.count(dropMalformed, err.Error())
		return
	}
	if e.From == n.cfg.Name {
		return
	}
	if e, err = n.unwrapCellEnvelope(e); err != nil {
		n.dropped.count(unwrapErrorDropReason(err), e.From)
		return
	}
	switch e.Kind {
	case kindStatus:
		n.receiveStatus(e, data, forward)
	case kindMessage:
		n.receiveMessage(e)
	case kindReadings, kindPlacements:
		n.receiveBatch(e)
	case kindSummary, kindDirectory:
		n.receiveCellMessage(e, data, forward)
	default: // a kind of a later version
		n.dropped.count(dropUnknown, strconv.Itoa(int(e.Kind)))
	}
}

// receiveStatus queues a status for the membership.Node if it is newer than the last one of the same relay.
func (n *Node) receiveStatus(e envelope, data []byte, forward bool) {
	var status membership.Status
	err := cbor.Unmarshal(e.Body, &status)
	if err != nil || !validStatus(status) || status.Incarnation != e.Incarnation || status.Seq != e.Seq {
		n.dropped.count(dropMalformed, "malformed status")
		return
	}
	if !n.peers.updateStatus(e, data) {
		return // gossip delivers each status several times
	}
	n.enqueueMembershipEvent(membership.StatusReceived{Name: e.From, Status: status})
	if n.peers.setLifecycle(e.From, status.Lifecycle) {
		n.enqueueMembershipEvent(membership.PeerHealth{Name: e.From, Health: membership.HealthLeft})
	}
	if forward {
		n.gossip.broadcasts.add(e.From, data)
	}
}

// receiveMessage queues a message for the membership.Node unless it is a duplicate.
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
	n.enqueueMembershipEvent(membership.MessageReceived{From: e.From, Message: message})
}

// receiveBatch passes readings or placements to Config.OnProbingEvent unless they are duplicates.
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
