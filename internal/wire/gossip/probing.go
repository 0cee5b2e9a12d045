package gossip

import (
	"capersail/internal/fleet/probing"
)

// outgoingBatch is readings, or rows of placements, on their way to a peer.
type outgoingBatch struct {
	to       string
	readings []probing.Reading
	rows     []probing.PlacementDelta
}

// Participants are the relays that take part in looking at servers by turns: the members of the view held, with the zones that they tell.
func (n *Node) Participants() (relays []probing.Relay, life uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.membership.View()
	if v.Epoch == 0 || !v.Member(n.cfg.Name).In {
		return nil, n.membership.Incarnation()
	}
	zones := map[string]string{n.cfg.Name: n.cfg.Zone}
	for _, p := range n.membership.Peers() {
		if p.Name != n.cfg.Name {
			zones[p.Name] = p.Status.Zone
		}
	}
	for _, name := range v.MemberNames() {
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

func (n *Node) enqueueBatch(w outgoingBatch) {
	select {
	case n.batches <- w:
	default:
		n.dropped.count(dropOverflow, "")
	}
}

// sendBatch sends readings and placements, in packets of a size.
func (n *Node) sendBatch(w outgoingBatch) {
	if len(w.rows) > 0 {
		n.sendTo(w.to, kindPlacements, encodePlacements(w.rows))
	}
	for len(w.readings) > 0 {
		some := w.readings[:min(len(w.readings), maxReadingsPerPacket)]
		w.readings = w.readings[len(some):]
		some = n.falsifyReadings(some)
		n.sendTo(w.to, kindReadings, encodeReadings(some))
	}
}
