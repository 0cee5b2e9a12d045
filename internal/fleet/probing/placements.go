package probing

import (
	"slices"
	"time"
)

// Placements are summed and not guessed: each relay tells what it has sent to which server since its last
// round, less what has ended there, all others get it as they get readings, and each adds what is younger
// than its reading of that server. The ends count too, or servers would look fuller than they are by all
// connections shorter than a reading's age. Only so many a second fit the rounds; a fleet to which more
// come goes on guessing by the sum of arrivals, whose spread is small there.
const (
	// MaxPlacementRate is up to how many requests a second of all the fleet placements are shared.
	MaxPlacementRate = 200.0
	// MaxPlacementsPerRound is how many rows a round carries.
	MaxPlacementsPerRound = 48
	// maxPlacementDelta bounds a row, in connections.
	maxPlacementDelta = 1000
)

// PlacementDelta is what one relay has sent to one server in one round, less what has ended there.
type PlacementDelta struct {
	ServerKey   uint64
	Origin      string
	Incarnation uint64
	Seq         uint64 // of the origin's rows: rises by one
	Delta       int
	Age         time.Duration
}

type (
	// LocalPlacement says that this relay has sent so many connections to a server; negative, that so many
	// have ended there.
	LocalPlacement struct {
		ServerKey uint64
		Delta     int
	}
	// PlacementsReceived is what a peer has passed on.
	PlacementsReceived struct {
		From   string
		Deltas []PlacementDelta
	}
	// PeerPlacement is what another relay has sent to a server.
	PeerPlacement struct{ PlacementDelta }
	// SendPlacements passes rows on.
	SendPlacements struct {
		To     string
		Deltas []PlacementDelta
	}
)

func (LocalPlacement) event()     {}
func (PlacementsReceived) event() {}
func (PeerPlacement) action()     {}
func (SendPlacements) action()    {}

// gossipedPlacement is one that is passed on still.
type gossipedPlacement struct {
	PlacementDelta
	placedAt   time.Duration
	roundsSent int // that have carried it
}

// placements are what this relay passes on of placements, its own and others'.
type placements struct {
	pendingDeltas map[uint64]int // connections sent to servers since the last round, less those that ended
	gossiped      []gossipedPlacement
	seq           uint64 // of the newest of its own
}

// notePlacement gathers this relay's own until its next round.
func (sc *Scheduler) notePlacement(e LocalPlacement) {
	if sc.HasPeers() && sc.servers[e.ServerKey] != nil {
		sc.placements.pendingDeltas[e.ServerKey] += e.Delta
	}
}

// acceptPlacement takes in a row that a peer has passed on. It returns why it is left out, "" if it is
// not, or was known.
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

// placementBatch returns what a round passes on: this relay's own first, then the newest that have not
// gone round yet.
func (sc *Scheduler) placementBatch() []PlacementDelta {
	sc.gossipOwnPlacements()
	p := &sc.placements
	var batch []PlacementDelta
	for i := len(p.gossiped) - 1; i >= 0; i-- { // the newest first
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

// gossipOwnPlacements adds what this relay has sent since the last round to what is passed on.
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
