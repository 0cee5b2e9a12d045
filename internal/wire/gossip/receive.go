package gossip

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

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
