package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// interleaving is a simulated fleet whose every step is chosen: which packet arrives next, or that time
// passes.
type interleaving struct {
	now     time.Duration
	relays  []*simulatedRelay
	packets []packet
}

func (l *interleaving) clone() *interleaving {
	c := &interleaving{now: l.now, packets: slices.Clone(l.packets)}
	for _, n := range l.relays {
		m := *n
		m.node = n.node.clone()
		c.relays = append(c.relays, &m)
	}
	return c
}

func (n *Node) clone() *Node {
	c := *n
	c.rng, c.actions = rand.New(rand.NewPCG(n.cfg.Seed, 3)), nil
	c.peers = peerTable{self: n.peers.self, byName: map[string]*Peer{}}
	c.lease.renewalSentAt = maps.Clone(n.lease.renewalSentAt)
	c.deferredRenewals = maps.Clone(n.deferredRenewals)
	for name, p := range n.peers.byName {
		*c.peers.entry(name, n.now) = *p
	}
	if n.voting.proposal != nil {
		p := *n.voting.proposal
		p.promises, p.acceptances = maps.Clone(p.promises), maps.Clone(p.acceptances)
		c.voting.proposal = &p
	}
	return &c
}

func (l *interleaving) handle(i int, ev Event) {
	n := l.relays[i]
	for _, a := range n.node.Handle(l.now, ev, nil) {
		switch a := a.(type) {
		case SaveRecord:
			n.savedRecord = a.Record
		case SendMessage:
			for j, m := range l.relays {
				if m.cfg.Name == a.To {
					l.packets = append(l.packets, packet{0, i, j,
						MessageReceived{From: n.cfg.Name, Message: a.Message}})
				}
			}
		case PublishStatus:
			for j := range l.relays {
				if j != i {
					l.packets = append(l.packets, packet{0, i, j,
						StatusReceived{Name: n.cfg.Name, Status: a.Status}})
				}
			}
		}
	}
}

func (l *interleaving) sum() (sum float64) {
	for _, n := range l.relays {
		sum += n.node.Estimate(l.now).BudgetShare
	}
	return sum
}

// explore plays every sequence of a number of steps. It returns how many sequences there were and the
// greatest sum of shares seen.
func (l *interleaving) explore(depth int) (played int, most float64) {
	most = l.sum()
	if depth == 0 {
		return 1, most
	}
	visit := func(step func(*interleaving)) {
		if most > 1+1e-9 { // a violation is found: stop
			return
		}
		c := l.clone()
		step(c)
		n, sum := c.explore(depth - 1)
		played, most = played+n, max(most, sum)
	}
	met := map[string]bool{}
	for i, p := range l.packets {
		if id := fmt.Sprintf("%+v", p); !met[id] { // equal packets lead to the same step
			met[id] = true
			visit(func(c *interleaving) {
				c.packets = slices.Delete(c.packets, i, i+1)
				c.handle(p.to, p.event)
			})
		}
	}
	for _, wait := range []time.Duration{450 * time.Millisecond,
		EarlierViewsExpireAfter + 10*time.Millisecond} {
		visit(func(c *interleaving) {
			c.now += wait
			for i := range c.relays {
				c.handle(i, Tick{})
			}
		})
	}
	visit(func(c *interleaving) { // the first relay is killed and restarts
		n := c.relays[0]
		n.node = New(c.now, n.cfg, n.savedRecord)
		n.node.safeguards.jointViews = c.relays[1].node.safeguards.jointViews
		n.node.Start(c.now, nil)
		n.savedRecord = n.node.record
		for i := range c.relays[1:] {
			c.handle(0, PeerHealth{c.relays[i+1].cfg.Name, HealthAlive})
		}
	})
	return played, most
}

// newInterleaving returns three relays that have agreed on a view, or that have just met.
func newInterleaving(agreed, joint bool) *interleaving {
	sim := newSimulatedFleet(3, 3, 5)
	for i, n := range sim.relays {
		n.clockRate, n.clockOffset = 1, 0
		sim.start(i)
	}
	if agreed {
		sim.run(8000)
	} else {
		sim.run(50)
	}
	l := &interleaving{now: duration.FromMillis(sim.now), relays: sim.relays}
	for _, n := range l.relays {
		n.node.safeguards.jointViews = joint
	}
	return l
}

// The shares of three relays must not exceed 1 in any sequence of steps up to a depth: packets that arrive in
// any order or never, time that passes, a kill and a restart.
func TestEveryInterleaving(t *testing.T) {
	depth := 5
	if longSchedules() {
		depth = 6
	}
	// The third relay counts as failed, but its lease is still valid.
	cutOff := func(joint bool) *interleaving {
		l := newInterleaving(true, joint)
		l.handle(0, PeerHealth{relayName(2), HealthFailed})
		l.handle(1, PeerHealth{relayName(2), HealthFailed})
		return l
	}
	for what, l := range map[string]*interleaving{"bootstrapping": newInterleaving(false, true),
		"cut off": cutOff(true),
		"agreed":  newInterleaving(true, true)} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			played, most := l.explore(depth)
			t.Logf("%d sequences of %d steps, the shares add up to %.6f at most", played, depth, most)
			if most > 1 {
				t.Errorf("the shares add up to %v, want 1 at most", most)
			}
		})
	}
	t.Run("without the joint view", func(t *testing.T) {
		t.Parallel()
		if _, most := cutOff(false).explore(5); most <= 1+1e-9 {
			t.Error("without the joint view no sequence exceeded a sum of 1, want at least one to detect it")
		}
	})
}
