package gossip

import (
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

const (
	// maxPacketBytes bounds a message that goes as one packet; a larger one goes over TCP.
	maxPacketBytes = 1100
	// maxReliableSends bounds the messages over TCP under way at once.
	maxReliableSends = 32
)

// send carries a membership.Node's message to a peer.
func (n *Node) send(to string, message membership.Message) { n.sendTo(to, kindMessage, message) }

// sendTo carries a body to a peer: as one packet, or over TCP where it is too large for that. A peer that is
// not known gets nothing.
func (n *Node) sendTo(to string, kind envelopeKind, body any) {
	list, node := n.mesh.list.Load(), n.peers.node(to)
	if list == nil || node == nil {
		return
	}
	n.mu.Lock()
	incarnation := n.membership.Incarnation()
	n.mu.Unlock()
	text, err := n.encodeForCell(incarnation, n.mesh.seq.Add(1), kind, body)
	if err != nil {
		n.log.Error().Err(err).Msg("gossip message cannot be encoded, not sent: report it with its error")
		return
	}
	if len(text) > maxPacketBytes {
		n.sendReliably(list, node, text)
		return
	}
	if err := list.SendBestEffort(node, text); err != nil {
		n.dropped.count(dropUnsent, err.Error())
	}
}

// sendReliably carries a message over TCP, without waiting for it.
func (n *Node) sendReliably(list *memberlist.Memberlist, node *memberlist.Node, text []byte) {
	select {
	case n.mesh.reliableSends <- struct{}{}:
	default:
		n.dropped.count(dropUnsent, "too many large messages under way")
		return
	}
	go func() {
		defer func() { <-n.mesh.reliableSends }()
		if err := list.SendReliable(node, text); err != nil {
			n.dropped.count(dropUnsent, err.Error())
		}
	}()
}

// publish broadcasts this relay's status.
func (n *Node) publish(status membership.Status) {
	text, err := n.encodeForCell(status.Incarnation, status.Seq, kindStatus, n.adjustStatus(status))
	if err != nil {
		n.log.Error().Err(err).Msg("status cannot be encoded, not published: report it with its error")
		return
	}
	n.peers.setStatus(n.cfg.Name, text)
	n.mesh.broadcasts.add(n.cfg.Name, text)
}
