package gossip

import (
	"capersail/internal/fleet/probing"
)

// batchQueueSize bounds the batches that wait to be sent; more are dropped, as newer ones follow.
const batchQueueSize = 64

// outgoingBatch is readings, or rows of placements, on their way to a peer.
type outgoingBatch struct {
	to       string
	readings []probing.Reading
	rows     []probing.PlacementDelta
}

// Participants are the relays that share the probing of servers: the members of the view held, with the zones
// that their statuses have. Nobody before there is a view that has this relay in it.
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

// SendReadings passes readings on to a peer, when Run comes to it.
func (n *Node) SendReadings(to string, readings []probing.Reading) {
	n.enqueueBatch(outgoingBatch{to: to, readings: readings})
}

// SendPlacements passes placements on to a peer, when Run comes to it.
func (n *Node) SendPlacements(to string, rows []probing.PlacementDelta) {
	n.enqueueBatch(outgoingBatch{to: to, rows: rows})
}

func (n *Node) enqueueBatch(batch outgoingBatch) {
	select {
	case n.batches <- batch:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// sendBatch sends readings and placements, in packets of a size.
func (n *Node) sendBatch(batch outgoingBatch) {
	if len(batch.rows) > 0 {
		n.sendTo(batch.to, kindPlacements, encodePlacements(batch.rows))
	}
	for left := batch.readings; len(left) > 0; {
		some := left[:min(len(left), maxReadingsPerPacket)]
		left = left[len(some):]
		n.sendTo(batch.to, kindReadings, encodeReadings(n.falsifyReadings(some)))
	}
}
