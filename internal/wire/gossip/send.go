package gossip

import (
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

const (
	// maxPacketBytes is the largest message that is sent as one packet; larger ones are sent over TCP.
	maxPacketBytes = 1100
	// maxReliableSends bounds the messages that are being sent over TCP at the same time.
	maxReliableSends = 32
)

// sendMessage sends a message of the membership.Node to a peer.
func (n *Node) sendMessage(to string, m membership.Message) { n.sendToPeer(to, kindMessage, m) }

// sendToPeer sends a body to a peer: as one packet, or over TCP if the envelope is too large for that. It
// does nothing for an unknown peer.
func (n *Node) sendToPeer(to string, kind envelopeKind, body any) {
	list, node := n.gossip.list.Load(), n.peers.node(to)
	if list == nil || node == nil {
		return
	}
	n.mu.Lock()
	incarnation := n.membership.Incarnation()
	n.mu.Unlock()
	data, err := n.encodeForCell(incarnation, n.gossip.seq.Add(1), kind, body)
	if err != nil {
		n.log.Error().Err(err).Msg("cannot encode a gossip message, not sent: report it as a bug")
		return
	}
	if len(data) > maxPacketBytes {
		n.sendReliably(list, node, data)
		return
	}
	if err := list.SendBestEffort(node, data); err != nil {
		n.dropped.count(dropUnsent, err.Error())
	}
}

// sendReliably sends a message over TCP in the background. It drops the message if maxReliableSends others
// are being sent.
func (n *Node) sendReliably(list *memberlist.Memberlist, node *memberlist.Node, data []byte) {
	select {
	case n.gossip.reliableSends <- struct{}{}:
	default:
		n.dropped.count(dropUnsent, "too many messages are being sent over TCP")
		return
	}
	go func() {
		defer func() { <-n.gossip.reliableSends }()
		if err := list.SendReliable(node, data); err != nil {
			n.dropped.count(dropUnsent, err.Error())
		}
	}()
}

// publishStatus broadcasts this relay's status to its peers.
func (n *Node) publishStatus(status membership.Status) {
	data, err := n.encodeForCell(status.Incarnation, status.Seq, kindStatus, n.adjustStatus(status))
	if err != nil {
		n.log.Error().Err(err).Msg("cannot encode this relay's status, not published: report it as a bug")
		return
	}
	n.peers.setStatus(n.cfg.Name, data)
	n.gossip.broadcasts.add(n.cfg.Name, data)
}
