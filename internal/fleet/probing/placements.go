package probing

import "time"

// Placements are summed and not guessed: each relay tells what it has sent to which server since its last round, less what has
// ended there, all others hear it as they hear readings, and each adds what is younger than its reading of that server. Without
// the ends, connections of 2 s made servers that stood at half of their load look full. Only so many a second fit
// the rounds; a fleet to which more come goes on guessing by the sum of arrivals, whose spread is small there.
const (
	// MaxPlacementRate is up to how many requests a second of the whole fleet placements are told. A relay then sends some
	// 9 times as many rows, of 20 bytes or so, each second.
	MaxPlacementRate = 200.0
	// MaxPlacementsPerRound is how many rows a round carries.
	MaxPlacementsPerRound = 48
	maxPlacementDelta     = 1000
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
	// LocalPlacement says that this relay has sent so many connections to a server; negative, that so many have ended there.
	LocalPlacement struct {
		ServerKey uint64
		Delta     int
	}
	// PlacementsReceived is what a peer has passed on.
	PlacementsReceived struct {
		From string
		Rows []PlacementDelta
	}
	// PeerPlacement is what another relay has sent to a server.
	PeerPlacement struct{ PlacementDelta }
	// SendPlacements passes rows on.
	SendPlacements struct {
		To   string
		Rows []PlacementDelta
	}
)

func (LocalPlacement) event()     {}
func (PlacementsReceived) event() {}
func (PeerPlacement) action()     {}
func (SendPlacements) action()    {}

// gossipedPlacement is one that is to be passed on.
type gossipedPlacement struct {
	PlacementDelta
	placedAt time.Duration
	rounds   int
}

// notePlacement gathers this relay's own until its next round.
func (sc *Scheduler) notePlacement(e LocalPlacement) {
	if sc.HasPeers() && sc.servers[e.ServerKey] != nil {
		sc.pendingPlacements[e.ServerKey] += e.Delta
	}
}

// acceptPlacement takes in a row that a peer has passed on. It returns why it is left out.
func (sc *Scheduler) acceptPlacement(p PlacementDelta) string {
	o := sc.relays[p.Origin]
	switch {
	case p.Origin == sc.self:
		return ""
	case o == nil || sc.servers[p.ServerKey] == nil:
		return UnknownOrigin
	case p.Delta == 0 || p.Delta > maxPlacementDelta || p.Delta < -maxPlacementDelta || p.Age < 0:
		return Impossible
	case p.Age > MaxReadingAge:
		return TooOld
	case sc.now < o.quarantinedUntil:
		return Quarantined
	case !o.placementDedup.Accept(p.Incarnation, p.Seq):
		return ""
	}
	sc.gossipedPlacements = append(sc.gossipedPlacements, gossipedPlacement{p, sc.now - p.Age, 0})
	sc.emit(PeerPlacement{p})
	return ""
}

// placementBatch returns what a round passes on: this relay's own first, then what has been passed on least.
func (sc *Scheduler) placementBatch() []PlacementDelta {
	for _, s := range sc.serverList {
		if n := min(max(sc.pendingPlacements[s.Key], -maxPlacementDelta), maxPlacementDelta); n != 0 {
			sc.placementSeq++
			own := PlacementDelta{ServerKey: s.Key, Origin: sc.self, Incarnation: sc.incarnation, Seq: sc.placementSeq, Delta: n}
			sc.gossipedPlacements = append(sc.gossipedPlacements, gossipedPlacement{own, sc.now, 0})
		}
	}
	clear(sc.pendingPlacements)
	keep, batch := sc.gossipedPlacements[:0], []PlacementDelta(nil)
	for i := len(sc.gossipedPlacements) - 1; i >= 0; i-- { // the newest first
		r := &sc.gossipedPlacements[i]
		if sc.now-r.placedAt > MaxReadingAge/2 || r.rounds >= maxGossipRounds || len(batch) >= MaxPlacementsPerRound {
			r.rounds = maxGossipRounds
			continue
		}
		r.rounds++
		p := r.PlacementDelta
		p.Age = sc.now - r.placedAt
		batch = append(batch, p)
	}
	for _, r := range sc.gossipedPlacements {
		if r.rounds < maxGossipRounds {
			keep = append(keep, r)
		}
	}
	sc.gossipedPlacements = keep
	return batch
}
