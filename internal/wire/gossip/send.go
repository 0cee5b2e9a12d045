package gossip

import (
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

// This file sends what a membership.Node says, and takes in what peers say.

// send carries a membership.Node's message to a peer.
func (n *Node) send(to string, m membership.Message) { n.sendTo(to, kindMessage, m) }

// sendTo carries a message to a peer: as one packet, or over TCP where it is too large for that.
func (n *Node) sendTo(to string, k envelopeKind, m any) {
	list := n.list.Load()
	n.peers.Lock()
	node := n.peers.nodes[to]
	n.peers.Unlock()
	if list == nil || node == nil {
		return
	}
	n.mu.Lock()
	incarnation := n.membership.Incarnation()
	n.mu.Unlock()
	text, err := n.encodeForCell(incarnation, n.seq.Add(1), k, m)
	if err != nil {
		n.log.Error().Err(err).Msg("members: a message cannot be written")
		return
	}
	if len(text) <= maxPacketBytes {
		if err := list.SendBestEffort(node, text); err != nil {
			n.dropped.count(dropUnsent, err.Error())
		}
		return
	}
	select {
	case n.reliableSends <- struct{}{}:
	default:
		n.dropped.count(dropUnsent, "too many large messages under way")
		return
	}
	go func() {
		defer func() { <-n.reliableSends }()
		if err := list.SendReliable(node, text); err != nil {
			n.dropped.count(dropUnsent, err.Error())
		}
	}()
}

// publish tells this relay's status to all.
func (n *Node) publish(d membership.Status) {
	text, err := n.encodeForCell(d.Incarnation, d.Seq, kindStatus, n.adjustStatus(d))
	if err != nil {
		n.log.Error().Err(err).Msg("members: the digest cannot be written")
		return
	}
	n.peers.Lock()
	n.peers.digests[n.cfg.Name] = text
	n.peers.Unlock()
	n.queue.QueueBroadcast(&statusBroadcast{n.cfg.Name, text})
}

// statusBroadcast is a status on its way round; a newer one of the same relay takes its place.
type statusBroadcast struct {
	name string
	text []byte
}

func (b *statusBroadcast) Name() string { return b.name }

func (b *statusBroadcast) Invalidates(o memberlist.Broadcast) bool {
	p, ok := o.(*statusBroadcast)
	return ok && p.name == b.name
}

func (b *statusBroadcast) Message() []byte { return b.text }

func (b *statusBroadcast) Finished() {}
