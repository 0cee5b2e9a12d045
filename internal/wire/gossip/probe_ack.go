package gossip

import (
	"bytes"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

// ackCellPrefix begins the payload of an answer to memberlist's probe. The name of the answering relay's cell
// follows. Answers from versions of the program without this payload are empty.
const ackCellPrefix = "cell:"

// AckPayload implements memberlist.PingDelegate. It returns the payload of the answer to a probe.
func (d *delegate) AckPayload() []byte { return []byte(ackCellPrefix + d.wireCell) }

// NotifyPingComplete implements memberlist.PingDelegate and is called when a probe has been answered. A relay
// that has moved to another cell still answers under its name and at its address, so memberlist by itself
// would take it for alive in this cell. The payload tells which cell it is in now.
func (d *delegate) NotifyPingComplete(m *memberlist.Node, _ time.Duration, payload []byte) {
	cell, found := bytes.CutPrefix(payload, []byte(ackCellPrefix))
	if !found {
		return
	}
	switch moved := string(cell) != d.wireCell; {
	case moved && d.peers.markMoved(m.Name):
		(*Node)(d).enqueueMembershipEvent(membership.PeerHealth{Name: m.Name, Health: membership.HealthFailed})
	case !moved && d.peers.markReturned(m.Name):
		(*Node)(d).enqueueMembershipEvent(membership.PeerHealth{Name: m.Name, Health: membership.HealthAlive})
	}
}
