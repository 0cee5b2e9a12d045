package gossip

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

// errInvalidRelayName is the error for a relay whose name ValidRelayName rejects.
var errInvalidRelayName = errors.New("invalid relay name: not 1 to 128 bytes of printable UTF-8")

// delegate implements memberlist's delegate interfaces for a Node. Its methods must not block.
type delegate Node

// NodeMeta implements memberlist.Delegate. The metadata is the relay's cell, empty in a flat fleet. The
// status is not part of it, as statuses are published at a rate of their own.
func (d *delegate) NodeMeta(int) []byte {
	if d.wireCell == "" {
		return nil
	}
	return []byte(d.wireCell)
}

// NotifyMsg implements memberlist.Delegate. It receives an envelope that a peer has sent or broadcast.
func (d *delegate) NotifyMsg(b []byte) { (*Node)(d).receiveEnvelope(slices.Clone(b), true) }

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.gossip.broadcasts.take(overhead, limit)
}

// LocalState implements memberlist.Delegate. It encodes all known statuses, for a relay that joins or has
// missed some of them.
func (d *delegate) LocalState(bool) []byte {
	data, err := cbor.Marshal(d.peers.allStatuses())
	if err != nil {
		return nil
	}
	return data
}

// MergeRemoteState implements memberlist.Delegate. It receives the statuses that LocalState of a peer
// encoded.
func (d *delegate) MergeRemoteState(data []byte, _ bool) {
	var all [][]byte
	if err := cbor.Unmarshal(data, &all); err != nil || len(all) > maxPeers {
		d.dropped.count(dropMalformed, "malformed list of statuses in a state exchange")
		return
	}
	for _, status := range all {
		(*Node)(d).receiveEnvelope(status, false)
	}
}

// setHealth records the health that memberlist reports of a relay, and notifies the membership.Node.
func (d *delegate) setHealth(m *memberlist.Node, health membership.Health) {
	d.peers.setHealth(*m, health)
	(*Node)(d).enqueueMembershipEvent(membership.PeerHealth{Name: m.Name, Health: health})
}

// NotifyJoin implements memberlist.EventDelegate.
func (d *delegate) NotifyJoin(m *memberlist.Node) { d.setHealth(m, membership.HealthAlive) }

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(m *memberlist.Node) { d.setHealth(m, membership.HealthAlive) }

// NotifyLeave implements memberlist.EventDelegate. memberlist calls it both for a relay that has failed and
// for one that has left without telling them apart; the relay's last status does.
func (d *delegate) NotifyLeave(m *memberlist.Node) { d.setHealth(m, d.peers.exitHealth(m.Name)) }

// NotifyAlive implements memberlist.AliveDelegate. It rejects relays with an invalid name and relays of
// another cell.
func (d *delegate) NotifyAlive(m *memberlist.Node) error {
	if !ValidRelayName(m.Name) {
		d.dropped.count(dropMalformed, errInvalidRelayName.Error())
		return errInvalidRelayName
	}
	if !(*Node)(d).inSameCell(m) {
		d.dropped.count(dropForeign, m.Name+": "+errOtherCell.Error())
		return errOtherCell
	}
	return nil
}

// NotifyConflict implements memberlist.ConflictDelegate. It counts a second relay that uses a known name.
func (d *delegate) NotifyConflict(old, other *memberlist.Node) {
	d.dropped.count(dropConflict,
		fmt.Sprintf("two relays are named %s: at %s and %s", old.Name, old.Address(), other.Address()))
}
