package gossip

import (
	"capersail/internal/fleet/probing"
)

// batchQueueSize bounds the queue of batches to be sent. Batches in excess of it are dropped, as newer ones
// follow.
const batchQueueSize = 64

// outgoingBatch holds readings, or rows of placements, to be sent to a peer.
type outgoingBatch struct {
	to       string
	readings []probing.Reading
	rows     []probing.PlacementDelta
}

// Participants returns the relays that share the probing of servers, and this relay's incarnation. The relays
// are the members of the current view, each with the zone in its status. There are none until this relay is a
// member of a view.
func (n *Node) Participants() (relays []probing.Relay, incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.membership.View()
	if view.Epoch == 0 || !view.Entry(n.cfg.Name).IsMember {
		return nil, n.membership.Incarnation()
	}
	zones := map[string]string{n.cfg.Name: n.cfg.Zone}
	for _, peer := range n.membership.Peers() {
		if peer.Name != n.cfg.Name {
			zones[peer.Name] = peer.Status.Zone
		}
	}
	for _, name := range view.MemberNames() {
		relays = append(relays, probing.Relay{Name: name, Zone: zones[name]})
	}
	return relays, n.membership.Incarnation()
}

// SendReadings queues readings for a peer; Run sends them.
func (n *Node) SendReadings(to string, readings []probing.Reading) {
	n.enqueueBatch(outgoingBatch{to: to, readings: readings})
}

// SendPlacements queues placements for a peer; Run sends them.
func (n *Node) SendPlacements(to string, rows []probing.PlacementDelta) {
	n.enqueueBatch(outgoingBatch{to: to, rows: rows})
}

func (n *Node) enqueueBatch(batch outgoingBatch) {
	select {
	case n.outgoingBatches <- batch:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// sendBatch sends a batch: placements in one envelope, readings in envelopes of up to maxReadingsPerPacket.
func (n *Node) sendBatch(batch outgoingBatch) {
	if len(batch.rows) > 0 {
		n.sendToPeer(batch.to, kindPlacements, encodePlacements(batch.rows))
	}
	for rest := batch.readings; len(rest) > 0; {
		chunk := rest[:min(len(rest), maxReadingsPerPacket)]
		rest = rest[len(chunk):]
		n.sendToPeer(batch.to, kindReadings, encodeReadings(n.falsifyReadings(chunk)))
	}
}
