package gossip

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

// This file is the Node as memberlist calls it.

// delegate is the Node as memberlist sees it. Its methods must not block.
type delegate Node

// NodeMeta is memberlist's: the relay's cell, nothing in a flat fleet. Statuses are carried apart, at a rate of their own.
func (d *delegate) NodeMeta(int) []byte {
	if d.cell == "" {
		return nil
	}
	return []byte(d.cell)
}

// NotifyMsg is memberlist's: a message, or a status that is passed on.
func (d *delegate) NotifyMsg(b []byte) { (*Node)(d).receive(slices.Clone(b), true) }

// GetBroadcasts is memberlist's.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// LocalState is memberlist's: all statuses known, for a relay that joins or has missed some.
func (d *delegate) LocalState(bool) []byte {
	d.peers.Lock()
	defer d.peers.Unlock()
	all := make([][]byte, 0, len(d.peers.digests))
	for _, text := range d.peers.digests {
		all = append(all, text)
	}
	text, err := cbor.Marshal(all)
	if err != nil {
		return nil
	}
	return text
}

// MergeRemoteState is memberlist's.
func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	var all [][]byte
	if err := cbor.Unmarshal(b, &all); err != nil || len(all) > maxPeers {
		d.dropped.count(dropMalformed, "a state that makes no sense")
		return
	}
	for _, text := range all {
		(*Node)(d).receive(text, false)
	}
}

func (d *delegate) notePeer(m *memberlist.Node, w membership.Health) {
	c := *m
	d.peers.Lock()
	if d.peers.nodes[m.Name] != nil || len(d.peers.nodes) < maxPeers {
		d.peers.nodes[m.Name] = &c
	}
	if w == membership.Left { // it is not missed
		delete(d.peers.nodes, m.Name)
	}
	if d.peers.nodes[m.Name] != nil && w == membership.Alive {
		d.peers.there[m.Name] = true
	} else {
		delete(d.peers.there, m.Name)
	}
	d.peers.Unlock()
	(*Node)(d).enqueueEvent(membership.PeerHealth{Name: m.Name, Health: w})
}

// NotifyJoin is memberlist's.
func (d *delegate) NotifyJoin(m *memberlist.Node) { d.notePeer(m, membership.Alive) }

// NotifyUpdate is memberlist's.
func (d *delegate) NotifyUpdate(m *memberlist.Node) { d.notePeer(m, membership.Alive) }

// NotifyLeave is memberlist's, for one that failed and for one that said so.
func (d *delegate) NotifyLeave(m *memberlist.Node) {
	if m.State == memberlist.StateLeft {
		d.notePeer(m, membership.Left)
	} else {
		d.notePeer(m, membership.Failed)
	}
}

// NotifyAlive is memberlist's: a name that nobody could have is no peer, and neither is a relay of another cell.
func (d *delegate) NotifyAlive(m *memberlist.Node) error {
	if !ValidName(m.Name) {
		d.dropped.count(dropMalformed, "a name that makes no sense")
		return errors.New("bad name")
	}
	if !(*Node)(d).sameCell(m) {
		d.dropped.count(dropForeign, m.Name+": "+errOtherCell.Error())
		return errOtherCell
	}
	return nil
}

// NotifyConflict is memberlist's: two relays of one name.
func (d *delegate) NotifyConflict(old, other *memberlist.Node) {
	d.dropped.count(dropConflict, fmt.Sprintf("%s at %s and %s", old.Name, old.Address(), other.Address()))
}
