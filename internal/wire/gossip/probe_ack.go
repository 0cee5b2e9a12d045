package gossip

import (
	"bytes"
	"time"

	"github.com/hashicorp/memberlist"

	"capersail/internal/fleet/membership"
)

// ackCellMark begins what the answer to memberlist's probe carries: the name of the answering relay's cell
// follows it. Programs that know no cells, or send no mark, carry nothing.
const ackCellMark = "cell:"

// AckPayload is memberlist's: what the answer to a probe carries.
func (d *delegate) AckPayload() []byte { return []byte(ackCellMark + d.cell) }

// NotifyPingComplete is memberlist's, once a probe is answered. A relay answers under its name and at its
// address in whatever cell it is now; memberlist alone would take one that has moved for alive.
func (d *delegate) NotifyPingComplete(m *memberlist.Node, _ time.Duration, payload []byte) {
	cell, marked := bytes.CutPrefix(payload, []byte(ackCellMark))
	if !marked {
		return
	}
	switch moved := string(cell) != d.cell; {
	case moved && d.peers.noteMoved(m.Name):
		(*Node)(d).enqueueEvent(membership.PeerHealth{Name: m.Name, Health: membership.HealthFailed})
	case !moved && d.peers.noteBack(m.Name):
		(*Node)(d).enqueueEvent(membership.PeerHealth{Name: m.Name, Health: membership.HealthAlive})
	}
}
