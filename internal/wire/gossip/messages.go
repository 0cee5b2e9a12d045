package gossip

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
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
func (b *statusBroadcast) Finished()       {}

// receive opens what a peer has sent. forward says that a status is to be passed on.
func (n *Node) receive(text []byte, forward bool) {
	e, err := decodeEnvelope(text)
	switch {
	case err != nil:
		n.dropped.count(dropMalformed, err.Error())
		return
	case e.From == n.cfg.Name:
		return
	}
	if e, err = n.unwrapCell(e); err != nil {
		n.dropped.count(unwrapDropReason(err), e.From)
		return
	}
	switch e.Kind {
	case kindStatus:
		var d membership.Status
		if err := cbor.Unmarshal(e.Body, &d); err != nil || !validStatus(d) || d.Incarnation != e.Incarnation || d.Seq != e.Seq {
			n.dropped.count(dropMalformed, "a digest that makes no sense")
			return
		}
		if n.noteStatus(e, text) {
			n.enqueueEvent(membership.StatusReceived{Name: e.From, Status: d})
			if forward {
				n.queue.QueueBroadcast(&statusBroadcast{e.From, text})
			}
		}
	case kindMessage:
		var m membership.Message
		if err := cbor.Unmarshal(e.Body, &m); err != nil || !validMessage(m) || m.From != e.Incarnation {
			n.dropped.count(dropMalformed, "a message that makes no sense")
			return
		}
		if !n.isFirstDelivery(e) {
			n.dropped.count(dropReplayed, e.From)
			return
		}
		n.enqueueEvent(membership.MessageReceived{From: e.From, Message: m})
	case kindReadings, kindPlacements:
		if n.cfg.OnProbingEvent == nil {
			return
		}
		ev, err := decodeBatch(e)
		if err != nil {
			n.dropped.count(dropMalformed, err.Error())
			return
		}
		if !n.isFirstDelivery(e) {
			n.dropped.count(dropReplayed, e.From)
			return
		}
		n.cfg.OnProbingEvent(ev)
	case kindSummary, kindDirectory:
		n.receiveFromCell(e, text, forward)
	default: // of a later version
		n.dropped.count(dropUnknown, strconv.Itoa(int(e.Kind)))
	}
}

// noteStatus notes a status, and tells whether it is news.
func (n *Node) noteStatus(e envelope, text []byte) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	if old, ok := n.peers.digests[e.From]; ok {
		if o, err := decodeEnvelope(old); err == nil && (o.Incarnation > e.Incarnation || o.Incarnation == e.Incarnation && o.Seq >= e.Seq) {
			return false
		}
	} else if len(n.peers.digests) >= maxPeers {
		return false
	}
	n.peers.digests[e.From] = text
	n.backInCell(e.From)
	return true
}

// backInCell has a peer that is missed joined again at once: its status has come, so it is in this cell whatever was found at its
// address before. The caller holds the lock.
func (n *Node) backInCell(name string) {
	if node := n.peers.nodes[name]; node != nil && !n.peers.there[name] {
		delete(n.peers.elsewhere, node.Address())
	}
}

// isFirstDelivery tells whether a message has not come before.
func (n *Node) isFirstDelivery(e envelope) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	w := n.peers.replays[e.From]
	if w == nil {
		if len(n.peers.replays) >= maxPeers {
			return false
		}
		w = &probing.DedupWindow{}
		n.peers.replays[e.From] = w
	}
	return w.Accept(e.Incarnation, e.Seq)
}
