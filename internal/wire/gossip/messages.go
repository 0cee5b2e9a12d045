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
func (n *Node) sendTo(to string, k kind, m any) {
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
	text, err := n.sealOwn(incarnation, n.seq.Add(1), k, m)
	if err != nil {
		n.log.Error().Err(err).Msg("members: a message cannot be written")
		return
	}
	if len(text) <= packetRoom {
		if err := list.SendBestEffort(node, text); err != nil {
			n.drops.count(unsent, err.Error())
		}
		return
	}
	select {
	case n.big <- struct{}{}:
	default:
		n.drops.count(unsent, "too many large messages under way")
		return
	}
	go func() {
		defer func() { <-n.big }()
		if err := list.SendReliable(node, text); err != nil {
			n.drops.count(unsent, err.Error())
		}
	}()
}

// publish tells this relay's status to all.
func (n *Node) publish(d membership.Status) {
	text, err := n.sealOwn(d.Incarnation, d.Seq, kindStatus, n.recode(d))
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

// take opens what a peer has sent. forward says that a status is to be passed on.
func (n *Node) take(text []byte, forward bool) {
	e, err := open(text)
	switch {
	case err != nil:
		n.drops.count(malformed, err.Error())
		return
	case e.From == n.cfg.Name:
		return
	}
	if e, err = n.unwrap(e); err != nil {
		n.drops.count(unwrapReason(err), e.From)
		return
	}
	switch e.Kind {
	case kindStatus:
		var d membership.Status
		if err := cbor.Unmarshal(e.Body, &d); err != nil || !validStatus(d) || d.Incarnation != e.Incarnation || d.Seq != e.Seq {
			n.drops.count(malformed, "a digest that makes no sense")
			return
		}
		if n.newer(e, text) {
			n.post(membership.StatusReceived{Name: e.From, Status: d})
			if forward {
				n.queue.QueueBroadcast(&statusBroadcast{e.From, text})
			}
		}
	case kindMessage:
		var m membership.Message
		if err := cbor.Unmarshal(e.Body, &m); err != nil || !validMessage(m) || m.From != e.Incarnation {
			n.drops.count(malformed, "a message that makes no sense")
			return
		}
		if !n.fresh(e) {
			n.drops.count(replayed, e.From)
			return
		}
		n.post(membership.MessageReceived{From: e.From, Message: m})
	case kindReadings, kindPlacements:
		if n.cfg.Received == nil {
			return
		}
		ev, err := readBatch(e)
		if err != nil {
			n.drops.count(malformed, err.Error())
			return
		}
		if !n.fresh(e) {
			n.drops.count(replayed, e.From)
			return
		}
		n.cfg.Received(ev)
	case kindSummary, kindDirectory:
		n.takeOfCells(e, text, forward)
	default: // of a later version
		n.drops.count(unknown, strconv.Itoa(int(e.Kind)))
	}
}

// newer notes a status, and tells whether it is news.
func (n *Node) newer(e envelope, text []byte) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	if old, ok := n.peers.digests[e.From]; ok {
		if o, err := open(old); err == nil && (o.Incarnation > e.Incarnation || o.Incarnation == e.Incarnation && o.Seq >= e.Seq) {
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

// fresh tells whether a message has not come before.
func (n *Node) fresh(e envelope) bool {
	n.peers.Lock()
	defer n.peers.Unlock()
	w := n.peers.replays[e.From]
	if w == nil {
		if len(n.peers.replays) >= maxPeers {
			return false
		}
		w = &probing.Window{}
		n.peers.replays[e.From] = w
	}
	return w.Take(e.Incarnation, e.Seq)
}
