package model

import (
	"math/rand/v2"
	"time"

	"capersail/decide"
	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/membership"
)

// Delays of the network between relays, and intervals of the relays' periodic tasks. Config.PacketLoss has
// the loss.
const (
	maxPacketDelay       = 20 * ms
	maxStatusDelay       = 600 * ms
	minFailureDelay      = 2000 * ms // until a stopped relay is detected as failed
	maxFailureDelay      = 2900 * ms
	maxJoinDelay         = 700 * ms
	schedulerInterval    = 25 * ms // between two ticks of a probing scheduler, as in the event loop
	participantsInterval = 100 * ms
)

// network is the network between the relays. It has a random source of its own, so that its draws do not
// change those of servers and clients.
type network struct {
	cfg       Config
	rng       *rand.Rand
	partition []int // by relay: the number of its part; nil while there is no partition
}

// partitioned reports whether two relays are in different parts of a partition.
func (n *network) partitioned(a, b *Relay) bool {
	return n.partition != nil && n.partition[a.index] != n.partition[b.index]
}

// delay draws a delay between 1 ms and 1 ms more than most.
func (n *network) delay(most time.Duration) time.Duration {
	return n.between(ms, ms+most)
}

// between draws a duration, in whole microseconds.
func (n *network) between(least, most time.Duration) time.Duration {
	return (least + duration.Scale(most-least, n.rng.Float64())).Round(time.Microsecond)
}

// Partition divides the relays into parts that cannot reach each other; nil ends the partition. Clients and
// servers stay reachable.
func (f *Fleet) Partition(parts []int) {
	f.network.partition = parts
	f.detectFailures(nil)
}

// PartitionZone cuts a zone off: relays reach only servers and relays on their own side. A negative zone ends
// the partition.
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

// deliverMessageLater runs do after a random delay, as the arrival of a message at a relay, unless the
// message is lost, the relays are partitioned, or the receiver has stopped or restarted.
func (f *Fleet) deliverMessageLater(from, to *Relay, most time.Duration, do func()) {
	if to == nil || !to.up || f.network.partitioned(from, to) || f.network.rng.Float64() < f.cfg.PacketLoss {
		return
	}
	incarnation := to.incarnation
	f.After(f.network.delay(most), func() {
		if to.up && to.incarnation == incarnation && !f.network.partitioned(from, to) {
			do()
		}
	})
}

// detectFailures updates failure detection for all relays or, if of is not nil, for one that has just started
// or ended. Each relay notices a change after a delay, unless the change is undone by then.
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

// detectFailure updates a relay's detection of whether one other relay is reachable.
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
		sameIncarnations := r.up && r.incarnation == own && o.incarnation == others
		reachable := o.up && !f.network.partitioned(r, o)
		if sameIncarnations && reachable == (want == membership.HealthAlive) && r.health[o] != want {
			r.health[o] = want
			f.handleNodeEvent(r, membership.PeerHealth{Name: o.Name, Health: want})
		}
	})
}
