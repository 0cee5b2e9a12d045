package probing

import (
	"slices"
	"time"
)

// Relays share exact placement counts. Each relay announces, per server, the connections that it has placed
// since its last gossip round minus those that have ended. The deltas spread like readings, and each relay
// adds those that are younger than its reading of the server. Ended connections are included because servers
// would otherwise seem more loaded, by all connections shorter than the age of a reading.
//
// A gossip round carries a limited number of deltas. A fleet with a higher request rate keeps estimating
// placements from the sum of arrivals, whose spread is small at such rates.
const (
	// MaxPlacementRate is the highest request rate of the whole fleet, in requests per second, at which
	// placements are shared.
	MaxPlacementRate = 200.0
	// MaxPlacementsPerRound is the maximum number of deltas in a gossip round.
	MaxPlacementsPerRound = 48
	// maxPlacementDelta is the maximum number of connections in a delta.
	maxPlacementDelta = 1000
)

// PlacementDelta is the number of connections that one relay has placed at one server in one gossip round,
// minus those that have ended there.
type PlacementDelta struct {
	ServerKey   uint64
	Origin      string
	Incarnation uint64
	Seq         uint64 // numbers the origin's deltas consecutively
	Delta       int
	Age         time.Duration
}

type (
	// LocalPlacement reports connections that this relay has placed at a server. A negative Delta reports
	// connections that have ended.
	LocalPlacement struct {
		ServerKey uint64
		Delta     int
	}
	// PlacementsReceived are placements passed on by a peer.
	PlacementsReceived struct {
		From   string
		Deltas []PlacementDelta
	}
	// PeerPlacement is a placement of another relay, for the decision module.
	PeerPlacement struct{ PlacementDelta }
	// SendPlacements sends placements to a peer.
	SendPlacements struct {
		To     string
		Deltas []PlacementDelta
	}
)

func (LocalPlacement) event()     {}
func (PlacementsReceived) event() {}
func (PeerPlacement) action()     {}
func (SendPlacements) action()    {}

// gossipedPlacement is a placement that is still being passed on.
type gossipedPlacement struct {
	PlacementDelta
	placedAt   time.Duration
	roundsSent int // number of gossip rounds that have carried it
}

// placements are the placements that this relay passes on, its own and those of others.
type placements struct {
	pendingDeltas map[uint64]int // by server: connections placed minus ended since the last round
	gossiped      []gossipedPlacement
	seq           uint64 // of this relay's newest delta
}

// notePlacement adds to this relay's delta for the next gossip round.
func (sc *Scheduler) notePlacement(e LocalPlacement) {
	if sc.HasPeers() && sc.servers[e.ServerKey] != nil {
		sc.placements.pendingDeltas[e.ServerKey] += e.Delta
	}
}

// acceptPlacement processes a delta passed on by a peer. It returns why the delta is dropped, or "" if it is
// used or was already known.
func (sc *Scheduler) acceptPlacement(p PlacementDelta) DropReason {
	o := sc.relays[p.Origin]
	switch {
	case p.Origin == sc.self:
		return ""
	case o == nil || sc.servers[p.ServerKey] == nil:
		return DropUnknownOrigin
	case p.Delta == 0 || p.Delta > maxPlacementDelta || p.Delta < -maxPlacementDelta || p.Age < 0:
		return DropImplausible
	case p.Age > MaxReadingAge:
		return DropTooOld
	case sc.isQuarantined(p.Origin):
		return DropQuarantined
	case !o.placementDedup.Accept(p.Incarnation, p.Seq):
		return ""
	}
	sc.placements.gossiped = append(sc.placements.gossiped, gossipedPlacement{p, sc.now - p.Age, 0})
	sc.emit(PeerPlacement{p})
	return ""
}

// placementBatch returns the deltas for one gossip round, newest first, starting with this relay's own.
func (sc *Scheduler) placementBatch() []PlacementDelta {
	sc.gossipOwnPlacements()
	p := &sc.placements
	var batch []PlacementDelta
	for i := len(p.gossiped) - 1; i >= 0; i-- { // newest first
		g := &p.gossiped[i]
		age := sc.now - g.placedAt
		if age > MaxReadingAge/2 || g.roundsSent >= maxGossipRounds || len(batch) >= MaxPlacementsPerRound {
			g.roundsSent = maxGossipRounds
			continue
		}
		g.roundsSent++
		row := g.PlacementDelta
		row.Age = age
		batch = append(batch, row)
	}
	done := func(g gossipedPlacement) bool { return g.roundsSent >= maxGossipRounds }
	p.gossiped = slices.DeleteFunc(p.gossiped, done)
	return batch
}

// gossipOwnPlacements moves this relay's pending deltas to the placements that are passed on.
func (sc *Scheduler) gossipOwnPlacements() {
	p := &sc.placements
	for _, s := range sc.serverList {
		delta := min(max(p.pendingDeltas[s.Key], -maxPlacementDelta), maxPlacementDelta)
		if delta == 0 {
			continue
		}
		p.seq++
		own := PlacementDelta{
			ServerKey: s.Key, Origin: sc.self, Incarnation: sc.incarnation, Seq: p.seq, Delta: delta,
		}
		p.gossiped = append(p.gossiped, gossipedPlacement{own, sc.now, 0})
	}
	clear(p.pendingDeltas)
}
