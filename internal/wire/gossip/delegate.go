package gossip

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

// errInvalidName refuses a relay whose name ValidRelayName refuses.
var errInvalidName = errors.New("invalid name of a relay")

// delegate is the Node as memberlist sees it. Its methods must not block.
type delegate Node

// NodeMeta is memberlist's: the relay's cell, nothing in a flat fleet. Statuses are carried apart, at a rate
// of their own.
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
	return d.mesh.broadcasts.take(overhead, limit)
}

// LocalState is memberlist's: all statuses known, for a relay that joins or has missed some.
func (d *delegate) LocalState(bool) []byte {
	text, err := cbor.Marshal(d.peers.allStatuses())
	if err != nil {
		return nil
	}
	return text
}

// MergeRemoteState is memberlist's.
func (d *delegate) MergeRemoteState(text []byte, _ bool) {
	var all [][]byte
	if err := cbor.Unmarshal(text, &all); err != nil || len(all) > maxPeers {
		d.dropped.count(dropMalformed, "malformed state")
		return
	}
	for _, status := range all {
		(*Node)(d).receive(status, false)
	}
}

// noteHealth notes what memberlist says of a relay, and notifies the membership.Node.
func (d *delegate) noteHealth(m *memberlist.Node, health membership.Health) {
	d.peers.noteHealth(*m, health)
	(*Node)(d).enqueueEvent(membership.PeerHealth{Name: m.Name, Health: health})
}

// NotifyJoin is memberlist's.
func (d *delegate) NotifyJoin(m *memberlist.Node) { d.noteHealth(m, membership.HealthAlive) }

// NotifyUpdate is memberlist's.
func (d *delegate) NotifyUpdate(m *memberlist.Node) { d.noteHealth(m, membership.HealthAlive) }

// NotifyLeave is memberlist's, for one that failed and for one that said so. It does not tell which: the
// relay's own status does.
func (d *delegate) NotifyLeave(m *memberlist.Node) { d.noteHealth(m, d.peers.goneHealth(m.Name)) }

// NotifyAlive is memberlist's: a name that nobody could have is no peer, and neither is a relay of another
// cell.
func (d *delegate) NotifyAlive(m *memberlist.Node) error {
	if !ValidRelayName(m.Name) {
		d.dropped.count(dropMalformed, errInvalidName.Error())
		return errInvalidName
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
