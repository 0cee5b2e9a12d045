package model

import (
	"math/rand/v2"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
)

// The network between relays: how late packets and findings are at most. Packets that are lost are the
// Config's.
const (
	maxPacketDelay       = 20 * ms
	maxStatusDelay       = 600 * ms
	minFailureDelay      = 2000 * ms // until a relay that is gone is taken for failed
	maxFailureDelay      = 2900 * ms
	maxJoinDelay         = 700 * ms
	schedulerInterval    = 25 * ms // between two steps of a scheduler, as the event loop has them
	participantsInterval = 100 * ms
)

// network is the network between the relays. It has a random source of its own, so that the other draws stay
// the same.
type network struct {
	cfg       Config
	rng       *rand.Rand
	partition []int // of each relay; nil while nobody is cut off
}

// partitioned tells whether two relays are kept apart.
func (n *network) partitioned(a, b *Relay) bool {
	return n.partition != nil && n.partition[a.index] != n.partition[b.index]
}

// delay draws how late something is.
func (n *network) delay(most time.Duration) time.Duration {
	return n.between(ms, ms+most)
}

// between draws a time, in whole microseconds.
func (n *network) between(least, most time.Duration) time.Duration {
	return (least + duration.Scale(most-least, n.rng.Float64())).Round(time.Microsecond)
}

// Partition cuts the relays into parts that do not reach each other; nil ends it. Clients and servers stay
// in reach.
func (f *Fleet) Partition(parts []int) {
	f.network.partition = parts
	f.detectFailures(nil)
}

// PartitionZone keeps all relays of other zones from a zone's servers and its relays from all others'
// servers, and the relays apart; negative ends it.
func (f *Fleet) PartitionZone(zone decide.Zone) {
	var parts []int
	for _, r := range f.Relays {
		r.unreachable = nil
		if zone >= 0 {
			inside := r.Zone == zone
			r.unreachable = func(s *Server) bool { return (s.Zone == zone) != inside }
			parts = append(parts, map[bool]int{true: 1}[inside])
		}
	}
	f.Partition(parts)
}

// sendLater brings something to a relay, unless it is lost, cut off or there is nobody any more.
func (f *Fleet) deliverMessageLater(from, to *Relay, most time.Duration, do func()) {
	if to == nil || !to.up || f.network.partitioned(from, to) || f.network.rng.Float64() < f.cfg.PacketLoss {
		return
	}
	life := to.incarnation
	f.After(f.network.delay(most), func() {
		if to.up && to.incarnation == life && !f.network.partitioned(from, to) {
			do()
		}
	})
}

// detectFailures lets the failure detectors find out who is in reach now, of all relays or of one that
// has just started or ended: each notices a while later, unless it is over by then.
func (f *Fleet) detectFailures(of *Relay) {
	if !f.cfg.Peering {
		return
	}
	for _, r := range f.Relays {
		switch {
		case of == nil:
			for _, o := range f.Relays {
				f.detectFailure(r, o)
			}
		case r != of:
			f.detectFailure(r, of)
			f.detectFailure(of, r)
		}
	}
}

// detectFailure lets one relay find out whether another is in reach.
func (f *Fleet) detectFailure(r, o *Relay) {
	if r == o || !r.up {
		return
	}
	want, after := membership.HealthAlive, f.network.delay(maxJoinDelay)
	if !o.up || f.network.partitioned(r, o) {
		want, after = membership.HealthFailed, f.network.between(minFailureDelay, maxFailureDelay)
	}
	if r.health[o] == want || want == membership.HealthFailed && r.health[o] == membership.HealthUnknown {
		return
	}
	own, others := r.incarnation, o.incarnation
	f.After(after, func() {
		sameLives := r.up && r.incarnation == own && o.incarnation == others
		reachable := o.up && !f.network.partitioned(r, o)
		if sameLives && reachable == (want == membership.HealthAlive) && r.health[o] != want {
			r.health[o] = want
			f.handleNodeEvent(r, membership.PeerHealth{Name: o.Name, Health: want})
		}
	})
}
